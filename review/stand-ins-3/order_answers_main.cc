// Case: replicas answer the orders that they accept with an empty body in
// chunks, whose last bytes arrive in several segments. Rule LOST, for the
// bookings of callers.
#include <sys/wait.h>

#include <algorithm>
#include <cstdio>
#include <map>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include <boost/json/src.hpp>

#include "callers.h"
#include "fleet.h"

namespace review {
namespace {

constexpr std::size_t kMaxLost = 3;
constexpr Millis kRestartAfter{1000};
constexpr Millis kMostTime{25000};
constexpr Millis kStep{50};

// The platform: starts each process again that has ended.
class Platform {
 public:
  Platform(Fleet& fleet, Record& record) : fleet_(fleet), record_(record) {}

  void Step() {
    for (Gateway& it : fleet_.gateways().all()) {
      int status = 0;
      if (fleet_.gateways().HasEnded(it, status)) {
        ++ends_[it.name];
        ++total_;
        ended_at_[it.name] = Now();
        record_.Line("platform: " + it.name + " has ended by itself, " +
                     (WIFSIGNALED(status)
                          ? "signal " + std::to_string(WTERMSIG(status))
                          : std::string("no signal")) +
                     ", " + std::to_string(ends_[it.name]) + " times");
      }
      if (it.pid == 0 && Now() - ended_at_[it.name] >= kRestartAfter) {
        fleet_.gateways().Start(it);
      }
    }
  }

  int ends() const { return total_; }

 private:
  Fleet& fleet_;
  Record& record_;
  std::map<std::string, int> ends_;
  int total_ = 0;
  std::map<std::string, TimePoint> ended_at_;
};

int RunCase(const std::string& folder, const std::string& out, bool trouble) {
  Record record(out);
  Fleet fleet(
      folder,
      {.engines = 9, .plain = 3, .in_pieces = trouble, .empty_in_chunks = true},
      record);
  if (!fleet.Start()) {
    return kCouldNotRun;
  }
  std::this_thread::sleep_for(kContact + Millis(2000));
  Platform platform(fleet, record);
  std::vector<std::unique_ptr<Callers>> callers;
  for (const Gateway& it : fleet.gateways().all()) {
    callers.push_back(std::make_unique<Callers>(it, record));
  }
  std::this_thread::sleep_for(Millis(2000));
  (void)fleet.NameWeights(2);
  const TimePoint end = Now() + kMostTime;
  while (Now() < end && !fleet.WaitForWeights(2, Millis(0))) {
    platform.Step();
    std::this_thread::sleep_for(kStep);
  }
  int answered = 0;
  std::size_t most_lost = 0;
  for (const auto& it : callers) {
    it->Stop();
    answered += it->answered();
    most_lost = std::max(most_lost, it->CountLost(fleet));
  }
  std::size_t orders = 0;
  for (const auto& it : fleet.engines()) {
    orders += it->orders().size();
  }
  record.Line("answered: " + std::to_string(answered) +
              ", orders: " + std::to_string(orders) +
              ", ends of gateways: " + std::to_string(platform.ends()) +
              ", passed on and never answered at one of them: " +
              std::to_string(most_lost));
  if (orders == 0 || answered == 0) {
    return kCouldNotRun;
  }
  return most_lost > kMaxLost ? kBroken : kHeld;
}

}  // namespace
}  // namespace review

int main(int argc, char** argv) {
  if (argc != 4) {
    std::fprintf(stderr, "usage: FOLDER RECORD TROUBLE\n");
    return review::kCouldNotRun;
  }
  return review::RunCase(argv[1], argv[2], std::string(argv[3]) != "0");
}
