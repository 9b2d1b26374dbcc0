// Case: the store comes back from a copy, and a key is taken away once it is
// stable again. Rule CONFIG, for requests with that key.
#include <atomic>
#include <cstdio>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include <boost/json/src.hpp>

#include "fleet.h"

namespace review {
namespace {

constexpr Millis kCopyAge{8000};
constexpr Millis kAway{1000};
// The key is taken away this long after the store is back.
constexpr Millis kKeyTakenAfter{3300};
constexpr Millis kWatched{9000};
constexpr Millis kPause{100};

// One request with the second organisation's key.
struct Sent {
  std::int64_t at_ms = 0;
  std::string id;
  std::string gateway;
  unsigned status = 0;
};

// Sends a request after another to one gateway, each on a new connection.
void SendRequests(const Gateway& gateway,
                  TimePoint end,
                  Record& record,
                  std::mutex& mutex,
                  std::vector<Sent>& sent) {
  for (int i = 0; Now() < end; ++i) {
    Sent it;
    it.id = gateway.zone + "-" + std::to_string(i);
    it.gateway = gateway.name;
    it.at_ms = record.At();
    const Request request{"GET",
                          "/look/" + std::to_string(i),
                          {{"Host", kRouteHost},
                           {"Authorization", "Token key-second"},
                           {"Peridotgate-Request-Id", it.id},
                           {"Peridotgate-Deadline-Ms", "1500"}},
                          ""};
    const auto response =
        Fetch(gateway.host, gateway.callers, request, Millis(2000));
    it.status = response ? response->status : 0;
    record.Line("client: " + it.id + " sent at " + std::to_string(it.at_ms) +
                " ms to " + it.gateway + " -> " + std::to_string(it.status));
    {
      const std::scoped_lock lock(mutex);
      sent.push_back(std::move(it));
    }
    std::this_thread::sleep_for(kPause);
  }
}

bool HasRun(const Fleet& fleet, const std::string& id) {
  for (const auto& replica : fleet.plain()) {
    for (const Run& run : replica->runs()) {
      if (run.request == id) {
        return true;
      }
    }
  }
  return false;
}

int RunCase(const std::string& folder, const std::string& out, bool trouble) {
  Record record(out);
  Fleet fleet(folder, {.engines = 9, .plain = 3}, record);
  if (!fleet.Start()) {
    return kCouldNotRun;
  }
  // Weights are named and brought to all engines in the time that is lost.
  std::this_thread::sleep_for(Millis(5000));
  const TimePoint copied = Now();
  (void)fleet.NameWeights(2);
  std::this_thread::sleep_for(kCopyAge);
  if (trouble) {
    fleet.Drill(copied, kAway);
  }
  std::this_thread::sleep_for(kKeyTakenAfter);
  if (!fleet.SendConfiguration(2, false)) {
    return kCouldNotRun;
  }
  const std::int64_t acknowledged = record.At();
  std::mutex mutex;
  std::vector<Sent> sent;
  std::vector<std::thread> clients;
  for (const Gateway& it : fleet.gateways().all()) {
    clients.emplace_back([&, end = Now() + kWatched] {
      SendRequests(it, end, record, mutex, sent);
    });
  }
  for (std::thread& it : clients) {
    it.join();
  }
  std::size_t late = 0;
  std::size_t refused = 0;
  for (const Sent& it : sent) {
    refused += it.status == 401 ? 1 : 0;
    if (it.at_ms > acknowledged + kConfigDeadline.count() &&
        HasRun(fleet, it.id)) {
      ++late;
      record.Line("CONFIG broken: " + it.id + ", sent " +
                  std::to_string(it.at_ms - acknowledged) +
                  " ms after the acknowledgement to " + it.gateway +
                  ", has run with the key that was taken away");
    }
  }
  record.Line("requests: " + std::to_string(sent.size()) +
              ", answered 401: " + std::to_string(refused) +
              ", sent too late and run: " + std::to_string(late));
  if (sent.empty()) {
    return kCouldNotRun;
  }
  return late > 0 ? kBroken : kHeld;
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
