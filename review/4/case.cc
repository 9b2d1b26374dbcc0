// An entry of another writer, with fields missing, lies beside the replicas'.
// Exits with 1 if a caller's booking is sent to the program at its address.
#include <atomic>
#include <cstdlib>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "../common/scenario.h"

namespace review {
namespace {

constexpr int kCallers = 8;
constexpr int kBookings = 20;  // Of each caller.
constexpr Millis kSettled{3000};

std::string Config() {
  constexpr std::int64_t kTimeoutMs = 800;
  constexpr std::int64_t kObjectiveMs = 150;
  return Configuration(
      1, {Route("/book/", "unsafe", "ledger", kTimeoutMs, kObjectiveMs)},
      {PlainService("ledger")}, {Tenant("tailors", "key-1", false)});
}

void Run(Record& record) {
  Store store;
  store.Put("op", "config", Config());
  std::atomic<int> booked{0};
  Replica* replicas[2] = {};
  const auto make = [&](int index) {
    const auto work = [&, index](const Message& request,
                                 const ConnectionPtr& connection) {
      record.Add(replicas[index]->id() + " runs " +
                 request.Header("Peridotgate-Request-Id"));
      ++booked;
      Sleep(Millis(20));
      connection->Write(
          Response(200, replicas[index]->Headers(request), "booked"));
    };
    return std::make_unique<Replica>(
        store,
        ReplicaOptions{.id = "i-a" + std::to_string(index + 1),
                       .service = "ledger",
                       .slots = 6,
                       .models = {}},
        work);
  };
  const auto first = make(0);
  const auto second = make(1);
  replicas[0] = first.get();
  replicas[1] = second.get();
  first->Register();
  second->Register();

  // The other writer's program: an HTTP server that is no replica.
  std::atomic<int> strayed{0};
  Listener stranger("127.0.0.1", 0, [&](const ConnectionPtr& connection) {
    Message request;
    while (connection->ReadHead(request) && connection->ReadBody(request)) {
      ++strayed;
      record.Add("the other writer's program gets " + request.start_line +
                 ", id " + request.Header("Peridotgate-Request-Id") +
                 ", tenant " + request.Header("Peridotgate-Tenant"));
      connection->Write(Response(200,
                                 {{"Peridotgate-Request-Id",
                                   request.Header("Peridotgate-Request-Id")}},
                                 "hello"));
    }
  });
  Gateway gateway("gateway-1", store.address(), record);
  if (!gateway.Start() || !gateway.WaitUntilReady(Millis(10000))) {
    Finish(record, gateway, Verdict::kNotRun);
  }
  if (Trouble()) {
    // `version`, `cold_left_ms`, `sequence` and `born` are missing.
    const std::string entry =
        json::serialize(json::object{{"service", "ledger"},
                                     {"address", stranger.address()},
                                     {"zone", "zone-a"},
                                     {"slots", 6},
                                     {"state", "ready"}});
    store.Put("servers", "other-writer", entry);
    record.Add("another writer's entry: " + entry);
  }
  Sleep(kSettled);
  std::atomic<int> served{0};
  std::atomic<int> failed{0};
  std::vector<std::thread> callers;
  callers.reserve(kCallers);
  for (int caller = 0; caller < kCallers; ++caller) {
    callers.emplace_back([&, caller] {
      const ConnectionPtr connection =
          Connection::Open("127.0.0.1", gateway.port());
      for (int i = 0; i < kBookings; ++i) {
        Request request;
        request.id =
            "booking-" + std::to_string(caller) + "-" + std::to_string(i);
        request.path = "/book/x";
        request.key = "key-1";
        request.deadline_ms = 1500;
        request.body = "two slabs";
        const Answer answer = Exchange(*connection, request);
        record.Add("caller gets " + std::to_string(answer.status) + " for " +
                   request.id);
        ++(answer.status == 200 ? served : failed);
      }
    });
  }
  for (std::thread& it : callers) {
    it.join();
  }
  record.Add(std::to_string(booked) + " of " +
             std::to_string(kCallers * kBookings) +
             " bookings run by replicas, " + std::to_string(strayed) +
             " sent to the other writer's program; " + std::to_string(served) +
             " callers served, " + std::to_string(failed) + " failed");
  if (served == 0) {
    Finish(record, gateway, Verdict::kNotRun);
  }
  Finish(record, gateway, strayed > 0 ? Verdict::kBroken : Verdict::kHeld);
}

}  // namespace
}  // namespace review

int main(int argc, char** argv) {
  review::Record record(std::string(argc > 1 ? argv[1] : ".") + "/record.txt");
  review::Run(record);
}
