// Guards against a process that blocks in logging, or at exit, because nobody
// reads its standard output.
#include "runtime/event_log.h"

#include <unistd.h>

#include <array>
#include <string>
#include <thread>

#include <gtest/gtest.h>

namespace peridotgate::runtime {
namespace {

// Redirects standard output into a pipe that nobody reads.
class UnreadStdout {
 public:
  UnreadStdout() : original_stdout_(::dup(STDOUT_FILENO)) {
    EXPECT_EQ(::pipe(pipe_.data()), 0);
    ::dup2(pipe_[1], STDOUT_FILENO);
    ::close(pipe_[1]);
  }
  ~UnreadStdout() {
    ::dup2(original_stdout_, STDOUT_FILENO);
    ::close(original_stdout_);
  }

  // Restores standard output and reads the pipe until its write end is closed.
  void Drain() {
    ::dup2(original_stdout_, STDOUT_FILENO);
    std::array<char, 4096> buf{};
    while (::read(pipe_[0], buf.data(), buf.size()) > 0) {
    }
    ::close(pipe_[0]);
  }

 private:
  int original_stdout_;
  std::array<int, 2> pipe_{};
};

TEST(EventLog, NeverBlocksOnUnreadOutput) {
  Metrics metrics;
  UnreadStdout output;
  StartEventLog("test", metrics);
  constexpr int kEventNames = 20;
  constexpr int kLinesPerName = 900;
  {
    SCOPED_TRACE("far more lines than the queue and the pipe hold");
    for (int name = 0; name < kEventNames; ++name) {
      const std::string event = "event_" + std::to_string(name);
      for (int i = 0; i < kLinesPerName; ++i) {
        LogEvent(event, LogClass::kNotable).Add("i", i);
      }
    }
    const auto dropped =
        metrics.GetCounter("peridotgate_log_dropped_total").value();
    EXPECT_GT(dropped, kEventNames * kLinesPerName / 2);
  }
  {
    SCOPED_TRACE("stopping does not block either");
    EXPECT_FALSE(StopEventLog());
  }
  // Lets the writer thread end before `metrics` is destroyed.
  output.Drain();
}

}  // namespace
}  // namespace peridotgate::runtime
