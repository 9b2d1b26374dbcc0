// Case: the store turns calls away with a 503 without a body, in chunks, whose
// last bytes arrive in several segments. Rule LOST, for the bookings of
// callers.
#include <sys/wait.h>

#include <algorithm>
#include <cstdio>
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
constexpr Millis kBusy{3000};

int RunCase(const std::string& folder, const std::string& out, bool trouble) {
  Record record(out);
  Fleet fleet(folder, {.engines = 3, .plain = 3}, record);
  if (!fleet.Start()) {
    return kCouldNotRun;
  }
  std::this_thread::sleep_for(kContact + Millis(1000));
  std::vector<std::unique_ptr<Callers>> callers;
  for (const Gateway& it : fleet.gateways().all()) {
    callers.push_back(std::make_unique<Callers>(it, record));
  }
  std::this_thread::sleep_for(Millis(2000));
  fleet.store().SetBusy(true, trouble);
  std::this_thread::sleep_for(kBusy);
  fleet.store().SetBusy(false, false);
  std::this_thread::sleep_for(Millis(2000));
  int ends = 0;
  for (Gateway& it : fleet.gateways().all()) {
    int status = 0;
    if (fleet.gateways().HasEnded(it, status) && WIFSIGNALED(status)) {
      ++ends;
      record.Line("gateway " + it.name + ": ended by itself, by signal " +
                  std::to_string(WTERMSIG(status)));
    }
  }
  int answered = 0;
  std::size_t lost = 0;  // At one gateway.
  for (const auto& it : callers) {
    it->Stop();
    answered += it->answered();
    lost = std::max(lost, it->CountLost(fleet));
  }
  record.Line("answered: " + std::to_string(answered) +
              ", gateways ended: " + std::to_string(ends) +
              " of 3, passed on and never answered at one of them: " +
              std::to_string(lost));
  if (answered == 0) {
    return kCouldNotRun;
  }
  return lost > kMaxLost ? kBroken : kHeld;
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
