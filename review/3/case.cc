// Streams on a service with one replica, which pauses for less than callers
// wait. Exits with 1 if an answer ends before its last event around the change
// of the configuration.
#include <atomic>
#include <cstdlib>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "../common/scenario.h"

namespace review {
namespace {

constexpr int kEvents = 12;
constexpr int kPauseAfter = 4;
constexpr Millis kEventGap{20};
// Callers of this route leave after a gap of 2,400 ms.
constexpr Millis kPause{1500};
constexpr int kCallers = 6;
constexpr Millis kBefore{6000};
constexpr Millis kAfter{3000};

std::string Event(const std::string& id, int number) {
  return "id: " + std::to_string(number) + "\ndata: " + id + "\n\n";
}

std::string Chunk(const std::string& bytes) {
  constexpr int kHexDigits = 16;
  std::string size;
  for (std::size_t n = bytes.size(); n > 0; n /= kHexDigits) {
    size.insert(0, 1, "0123456789abcdef"[n % kHexDigits]);
  }
  return size + "\r\n" + bytes + "\r\n";
}

// Runs a stream. One in ten is preempted for a while after its fourth event.
class Engine {
 public:
  Engine(Store& store,
         Record& record,
         const std::string& id,
         const std::string& service)
      : record_(record),
        replica_(store,
                 {.id = id, .service = service, .models = {{"m0", 1}}},
                 [this](const Message& it, const ConnectionPtr& connection) {
                   Run(it, connection);
                 }) {}

  Replica& replica() { return replica_; }

 private:
  void Run(const Message& request, const ConnectionPtr& connection) {
    const std::string id = request.Header("Peridotgate-Request-Id");
    const int first = std::atoi(request.Header("Last-Event-Id").c_str()) + 1;
    record_.Add(replica_.id() + " runs " + id + " from event " +
                std::to_string(first));
    std::string head = "HTTP/1.1 200 OK\r\n";
    for (const auto& [name, value] : replica_.Headers(request)) {
      head.append(name).append(": ").append(value).append("\r\n");
    }
    connection->Write(head +
                      "Content-Type: text/event-stream\r\n"
                      "Transfer-Encoding: chunked\r\n\r\n");
    const bool preempted = id.ends_with("0");
    for (int i = first; i <= kEvents; ++i) {
      const bool pause = preempted && i == kPauseAfter + 1 && first == 1;
      if (connection->WaitForClose(pause ? kPause : kEventGap)) {
        record_.Add(replica_.id() + ": connection of " + id +
                    " closed before event " + std::to_string(i));
        connection->Shutdown();
        return;
      }
      connection->Write(Chunk(Event(id, i)));
    }
    connection->Write("0\r\n\r\n");
    record_.Add(replica_.id() + " ends " + id);
  }

  Record& record_;
  Replica replica_;
};

std::string Config(std::int64_t version, const std::string& service) {
  constexpr std::int64_t kTimeoutMs = 4000;
  constexpr std::int64_t kObjectiveMs = 400;
  json::object route =
      Route("/grade/", "stream", service, kTimeoutMs, kObjectiveMs);
  route["attempts"] = 3;
  return Configuration(version, {std::move(route)},
                       {EngineService("pool-a"), EngineService("pool-b")},
                       {Tenant("tailors", "key-1", false)});
}

void Run(Record& record) {
  Store store;
  store.Put("op", "config", Config(1, "pool-a"));
  store.Put("op", "version/m0", R"({"model":"m0","version":1})");
  Engine first(store, record, "i-a1", "pool-a");
  Engine second(store, record, "i-a2", "pool-a");
  Engine only(store, record, "i-b1", "pool-b");
  for (Engine* it : {&first, &second, &only}) {
    it->replica().Register();
  }
  Gateway gateway("gateway-1", store.address(), record);
  if (!gateway.Start() || !gateway.WaitUntilReady(Millis(10000))) {
    Finish(record, gateway, Verdict::kNotRun);
  }
  std::atomic<bool> ended{false};
  std::atomic<bool> changed{false};
  std::atomic<int> next{1000};
  std::atomic<int> sent_before{0};
  std::atomic<int> cut_before{0};
  std::atomic<int> sent_after{0};
  std::atomic<int> cut_after{0};
  std::vector<std::thread> callers;
  callers.reserve(kCallers);
  for (int i = 0; i < kCallers; ++i) {
    callers.emplace_back([&] {
      ConnectionPtr connection;
      while (!ended) {
        if (!connection) {
          connection = Connection::Open("127.0.0.1", gateway.port());
        }
        Request request;
        request.id = "request-" + std::to_string(next++);
        request.path = "/grade/x";
        request.key = "key-1";
        request.body = "spec sheet";
        request.headers = {{"Peridotgate-Model", "m0"},
                           {"Peridotgate-Token-Counts", "250,80"},
                           {"Peridotgate-Prompt-Prefix", "5c1e07a2:200,1:50"}};
        const bool after = changed;
        record.Add("caller sends " + request.id);
        const Answer answer = Exchange(*connection, request);
        const bool whole =
            answer.complete && answer.status == 200 &&
            answer.body.find(Event(request.id, kEvents)) != std::string::npos;
        record.Add("caller gets " + std::to_string(answer.status) + " for " +
                   request.id + (whole ? ", whole" : ", NOT WHOLE"));
        ++(after ? sent_after : sent_before);
        (after ? cut_after : cut_before) += whole ? 0 : 1;
        if (!answer.complete) {
          connection = nullptr;
        }
      }
    });
  }
  Sleep(kBefore);
  if (Trouble()) {
    store.Put("op", "config", Config(2, "pool-b"));
    record.Add("the store acknowledged version 2: /grade/ goes to pool-b");
  }
  changed = true;
  Sleep(kAfter);
  ended = true;
  for (std::thread& it : callers) {
    it.join();
  }
  record.Add("before the change: " + std::to_string(cut_before) + " of " +
             std::to_string(sent_before) + " cut; after it: " +
             std::to_string(cut_after) + " of " + std::to_string(sent_after));
  if (sent_before == 0 || sent_after == 0) {
    Finish(record, gateway, Verdict::kNotRun);
  }
  // Cuts count beside a configuration if they are over three times as frequent.
  const bool broken =
      cut_after > 0 && cut_after * sent_before > 3 * cut_before * sent_after;
  Finish(record, gateway, broken ? Verdict::kBroken : Verdict::kHeld);
}

}  // namespace
}  // namespace review

int main(int argc, char** argv) {
  const std::string folder = argc > 1 ? argv[1] : ".";
  review::Record record(folder + "/record.txt");
  review::Run(record);
}
