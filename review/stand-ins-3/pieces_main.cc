// Case: a sound replica answers with an empty body in chunks, whose last bytes
// arrive in several segments. Rule LOST, for the requests of other callers.
#include <sys/wait.h>

#include <cstdio>
#include <string>
#include <thread>

#include <boost/json/src.hpp>

#include "callers.h"
#include "fleet.h"

namespace review {
namespace {

constexpr std::size_t kMaxLost = 3;

int RunCase(const std::string& folder, const std::string& out, bool trouble) {
  Record record(out);
  Fleet fleet(folder, {.engines = 1, .plain = 3, .in_pieces = trouble}, record);
  if (!fleet.Start()) {
    return kCouldNotRun;
  }
  std::this_thread::sleep_for(kContact + Millis(1000));
  Gateway& gateway = fleet.gateways().all().front();
  Callers callers(gateway, record);
  std::this_thread::sleep_for(Millis(2000));
  // One look-up, whose answer has an empty body in chunks.
  const Request look{"GET",
                     "/look/empty",
                     {{"Host", kRouteHost},
                      {"Authorization", "Token key-first"},
                      {"Peridotgate-Request-Id", "look-empty"},
                      {"Peridotgate-Deadline-Ms", "1500"}},
                     ""};
  const auto answer = Fetch(gateway.host, gateway.callers, look, Millis(2000));
  record.Line("client: look-empty -> " +
              (answer ? std::to_string(answer->status)
                      : std::string("closed without an answer")));
  std::this_thread::sleep_for(Millis(2000));
  int status = 0;
  const bool ended = fleet.gateways().HasEnded(gateway, status);
  if (ended && WIFSIGNALED(status)) {
    record.Line("gateway: ended by itself, by signal " +
                std::to_string(WTERMSIG(status)));
  }
  callers.Stop();
  const std::size_t lost = callers.CountLost(fleet);
  record.Line("answered: " + std::to_string(callers.answered()) +
              ", gateway ended: " + (ended ? "yes" : "no") +
              ", passed on and never answered: " + std::to_string(lost));
  if (callers.answered() == 0) {
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
