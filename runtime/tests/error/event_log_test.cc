// A log whose output nobody reads.
#include "runtime/event_log.h"

#include <unistd.h>

#include <array>
#include <string>
#include <thread>

#include <gtest/gtest.h>

namespace peridotgate::runtime {
namespace {

// Standard output goes into a pipe while this exists.
class Unread {
 public:
  Unread() : before_(::dup(STDOUT_FILENO)) {
    EXPECT_EQ(::pipe(pipe_.data()), 0);
    ::dup2(pipe_[1], STDOUT_FILENO);
    ::close(pipe_[1]);
  }
  ~Unread() {
    ::dup2(before_, STDOUT_FILENO);
    ::close(before_);
  }

  // Reads until the other end is closed.
  void Drain() {
    ::dup2(before_, STDOUT_FILENO);
    std::array<char, 4096> buf{};
    while (::read(pipe_[0], buf.data(), buf.size()) > 0) {
    }
    ::close(pipe_[0]);
  }

 private:
  int before_;
  std::array<int, 2> pipe_{};
};

TEST(EventLog, NeverWaitsForTheReaderOfItsOutput) {
  Metrics metrics;
  Unread output;
  StartEventLog("test", metrics);
  constexpr int kNames = 20;
  constexpr int kLinesOfName = 900;
  {
    SCOPED_TRACE("far more lines than the ring and the pipe take");
    for (int name = 0; name < kNames; ++name) {
      const std::string event = "event_" + std::to_string(name);
      for (int i = 0; i < kLinesOfName; ++i) {
        LogEvent(event, LogClass::kNotable).Add("i", i);
      }
    }
    const auto dropped =
        metrics.GetCounter("peridotgate_log_dropped_total").value();
    EXPECT_GT(dropped, kNames * kLinesOfName / 2);
  }
  {
    SCOPED_TRACE("the end does not wait either");
    EXPECT_FALSE(StopEventLog());
  }
  // Lets the writer's thread end before the registry does.
  output.Drain();
}

}  // namespace
}  // namespace peridotgate::runtime
