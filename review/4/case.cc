// A tenant becomes dedicated by a change of the configuration. Exits with 1 if
// a request of another tenant then uses parts that the dedicated one made.
#include <atomic>
#include <cstdlib>
#include <map>
#include <mutex>
#include <string>
#include <utility>
#include <vector>

#include "../common/scenario.h"

namespace review {
namespace {

// Shared parts below 1,024 tokens are placed by load alone.
constexpr const char* kPrompt = "5c1e07a2:2520,91bd3f06:3780,";
constexpr int kRounds = 6;
// `config_deadline_ms` of brazos-line, and a second more.
constexpr Millis kSettled{3000};

// A replica's kept parts: found under the same salt, behind the parts before.
class Engine {
 public:
  Engine(Store& store, Record& record, const std::string& id)
      : record_(record),
        replica_(store,
                 {.id = id, .service = "pool-a", .models = {{"m0", 1}}},
                 [this](const Message& it, const ConnectionPtr& connection) {
                   Run(it, connection);
                 }) {
    replica_.Register();
  }

  /** Uses of parts of tenant `maker` by tenant `user`. */
  int Uses(const std::string& maker, const std::string& user) {
    const std::lock_guard lock(mutex_);
    return uses_[{maker, user}];
  }

 private:
  void Run(const Message& request, const ConnectionPtr& connection) {
    const std::string tenant = request.Header("Peridotgate-Tenant");
    const std::string salt = request.Header("Peridotgate-Cache-Salt");
    std::string key = salt;
    std::string found;
    bool before = true;
    {
      const std::lock_guard lock(mutex_);
      std::string parts = request.Header("Peridotgate-Prompt-Prefix");
      while (!parts.empty()) {
        const std::size_t end = parts.find(',');
        key += "/" + parts.substr(0, parts.find(':'));
        const auto kept = parts_.find(key);
        before = before && kept != parts_.end();
        if (before) {
          ++uses_[{kept->second, tenant}];
          found += " " + kept->second;
        } else {
          parts_[key] = tenant;
        }
        parts.erase(0, end == std::string::npos ? parts.size() : end + 1);
      }
    }
    record_.Add(replica_.id() + " runs " +
                request.Header("Peridotgate-Request-Id") + " of " + tenant +
                " under salt '" + salt +
                "', uses parts made by:" + (found.empty() ? " none" : found));
    std::map<std::string, std::string> headers = replica_.Headers(request);
    headers["Content-Type"] = "text/event-stream";
    connection->Write(Response(200, headers, "id: 1\ndata: a\n\n"));
  }

  Record& record_;
  std::mutex mutex_;
  std::map<std::string, std::string> parts_;  // The tenant that made each.
  std::map<std::pair<std::string, std::string>, int> uses_;
  Replica replica_;
};

std::string Config(std::int64_t version, bool dedicated) {
  constexpr std::int64_t kTimeoutMs = 4000;
  constexpr std::int64_t kObjectiveMs = 400;
  return Configuration(
      version, {Route("/grade/", "stream", "pool-a", kTimeoutMs, kObjectiveMs)},
      {EngineService("pool-a")},
      {Tenant("tailors", "key-1", dedicated),
       Tenant("hatters", "key-2", false)});
}

void Run(Record& record) {
  Store store;
  store.Put("op", "config", Config(1, false));
  store.Put("op", "version/m0", R"({"model":"m0","version":1})");
  Engine first(store, record, "i-a1");
  Engine second(store, record, "i-a2");
  Gateway gateway("gateway-1", store.address(), record);
  if (!gateway.Start() || !gateway.WaitUntilReady(Millis(10000))) {
    Finish(record, gateway, Verdict::kNotRun);
  }
  int next = 0;
  int failed = 0;
  const auto send = [&](const std::string& key) {
    Request request;
    request.id = "request-" + std::to_string(++next);
    request.path = "/grade/x";
    request.key = key;
    request.headers = {
        {"Peridotgate-Model", "m0"},
        {"Peridotgate-Token-Counts", "6350,10"},
        {"Peridotgate-Prompt-Prefix", kPrompt + std::to_string(next) + ":50"}};
    const Answer answer = ExchangeOnce(gateway.port(), request);
    record.Add("key " + key + ": " + request.id + " gets " +
               std::to_string(answer.status));
    failed += answer.status == 200 ? 0 : 1;
  };
  for (int i = 0; i < kRounds; ++i) {
    send("key-1");
  }
  if (Trouble()) {
    store.Put("op", "config", Config(2, true));
    record.Add("the store acknowledged version 2: tailors is dedicated");
  }
  Sleep(kSettled);
  for (int i = 0; i < kRounds; ++i) {
    send("key-1");
    send("key-2");
  }
  const int shared =
      first.Uses("tailors", "hatters") + second.Uses("tailors", "hatters");
  record.Add("hatters used " + std::to_string(shared) +
             " parts that tailors had made");
  if (failed > 0) {
    Finish(record, gateway, Verdict::kNotRun);
  }
  // Without the change, both share parts as they may.
  const bool broken = Trouble() && shared > 0;
  Finish(record, gateway, broken ? Verdict::kBroken : Verdict::kHeld);
}

}  // namespace
}  // namespace review

int main(int argc, char** argv) {
  review::Record record(std::string(argc > 1 ? argv[1] : ".") + "/record.txt");
  review::Run(record);
}
