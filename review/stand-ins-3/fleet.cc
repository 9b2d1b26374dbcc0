#include "fleet.h"

#include <thread>

namespace review {
namespace {

json::object MakeRoute(const std::string& prefix,
                       const std::string& kind,
                       const std::string& service,
                       int timeout_ms) {
  return {{"name", "route" + prefix},
          {"host", kRouteHost},
          {"prefix", prefix},
          {"kind", kind},
          {"timeout_ms", timeout_ms},
          {"slo_ms", 300},
          {"priority", 2},
          {"service", service},
          {"attempts", kind == "safe" ? 2 : 1},
          {"public", false},
          {"sticky", kind == "stream"},
          {"can_resume", false}};
}

}  // namespace

Fleet::Fleet(const std::string& folder,
             const FleetOptions& options,
             Record& record)
    : record_(record),
      store_("127.0.0.1", record),
      gateways_(folder, {"zone-a", "zone-b", "zone-c"}, record) {
  const std::vector<std::string> zones{"zone-a", "zone-b", "zone-c"};
  SendConfiguration(1, true);
  NameWeights(1);
  for (std::size_t i = 0; i < options.engines; ++i) {
    constexpr int kEngineSlots = 64;
    engines_.push_back(std::make_unique<Replica>(
        "127.0.0.1", "i-engine-" + std::to_string(i),
        ReplicaOptions{"loom", zones[i % zones.size()], kModel, kEngineSlots,
                       options.in_pieces, options.empty_in_chunks},
        store_, record));
  }
  for (std::size_t i = 0; i < options.plain; ++i) {
    plain_.push_back(std::make_unique<Replica>(
        "127.0.0.1", "i-plain-" + std::to_string(i),
        ReplicaOptions{"ledger", zones[i % zones.size()], "", 6,
                       options.in_pieces},
        store_, record));
  }
  gateways_.SetStore(store_.port());
}

bool Fleet::Start() {
  for (Gateway& it : gateways_.all()) {
    gateways_.Start(it);
  }
  return gateways_.WaitUntilReady(Millis(15000));
}

json::object Fleet::Configuration() const {
  json::array second_keys;
  if (with_second_key_) {
    second_keys.emplace_back("key-second");
  }
  const json::object engine{{"slots", 64},
                            {"kv_tokens", 100000},
                            {"kv_token_bytes", 18432},
                            {"link_mbps", 130000}};
  return {{"version", configuration_},
          {"routes", json::array{MakeRoute("/grade/", "stream", "loom", 4000),
                                 MakeRoute("/book/", "unsafe", "ledger", 800),
                                 MakeRoute("/look/", "safe", "ledger", 800)}},
          {"services", json::array{json::object{{"name", "loom"},
                                                {"health_path", "/health"},
                                                {"max_conns", 370},
                                                {"engine", engine}},
                                   json::object{{"name", "ledger"},
                                                {"health_path", "/health"},
                                                {"max_conns", 110}}}},
          {"limits", json::object{{"max_header_bytes", 16384},
                                  {"max_body_bytes", 4194304},
                                  {"header_timeout_ms", 3000},
                                  {"idle_timeout_ms", 15000}}},
          {"tenants",
           json::array{
               json::object{{"name", "first"},
                            {"api_keys", json::array{"key-first"}}},
               json::object{{"name", "second"}, {"api_keys", second_keys}}}}};
}

bool Fleet::SendConfiguration(std::int64_t version, bool with_second_key) {
  configuration_ = version;
  with_second_key_ = with_second_key;
  const std::int64_t stored = store_.Put("op", "config", Configuration());
  record_.Line("operator: configuration " + std::to_string(version) +
               (with_second_key ? "" : " without the second tenant's key") +
               (stored == 0 ? ", not answered"
                            : ", acknowledged as row version " +
                                  std::to_string(stored)));
  return stored != 0;
}

bool Fleet::NameWeights(std::int64_t version) {
  weights_ = version;
  for (const auto& it : engines_) {
    it->Name(version);
  }
  const std::int64_t stored =
      store_.Put("op", std::string("version/") + kModel,
                 {{"model", kModel}, {"version", version}});
  record_.Line("operator: weights " + std::to_string(version) +
               (stored == 0 ? ", not answered"
                            : ", acknowledged as row version " +
                                  std::to_string(stored)));
  return stored != 0;
}

void Fleet::Drill(TimePoint copied, Millis away) {
  store_.GoAway();
  std::this_thread::sleep_for(away);
  store_.ComeBack(copied, [this] {
    (void)SendConfiguration(configuration_, with_second_key_);
    (void)NameWeights(weights_);
    for (const auto& it : engines_) {
      it->Register();
    }
    for (const auto& it : plain_) {
      it->Register();
    }
  });
}

bool Fleet::WaitForWeights(std::int64_t version, Millis timeout) const {
  const TimePoint end = Now() + timeout;
  for (const auto& it : engines_) {
    while (it->version() < version) {
      if (Now() >= end) {
        return false;
      }
      std::this_thread::sleep_for(Millis(20));
    }
  }
  return true;
}

}  // namespace review
