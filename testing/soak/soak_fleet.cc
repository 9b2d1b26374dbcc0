#include "soak/soak_fleet.h"

#include <algorithm>
#include <fstream>

#include <spdlog/fmt/fmt.h>

#include "coordination/check.h"

namespace peridotgate::soak {
namespace {

// Offsets from the first port. The store listens on the first port itself, its
// proxies and the servers with their proxies follow. Each gateway listens on a
// loopback address of its own.
constexpr std::uint16_t kStoreProxyOffset = 10;
constexpr std::uint16_t kServerOffset = 40;
constexpr std::uint16_t kPortsPerServer = 2;
constexpr std::uint16_t kGatewayPortOffset = 100;
constexpr int kFirstHost = 10;

std::string GatewayHost(std::size_t index) {
  return "127.0.0." + std::to_string(kFirstHost + index);
}

json::object MakeRoute(const std::string& prefix,
                       const std::string& kind,
                       const std::string& service) {
  return {{"name", "r" + prefix},
          {"host", "soak.example"},
          {"prefix", prefix},
          {"kind", kind},
          {"timeout_ms", 3000},
          {"slo_ms", 300},
          {"priority", 1},
          {"service", service},
          {"attempts", 2},
          {"public", false},
          {"sticky", kind == "stream"},
          {"can_resume", kind == "stream"}};
}

}  // namespace

SoakFleet::SoakFleet(asio::io_context& context,
                     prove::Report& report,
                     const SoakOptions& options)
    : options_(options),
      store_(context),
      ledger_(report),
      environment_{context, store_,   ledger_,
                   report,  metrics_, [this] { return fault_free_since_; }},
      store_server_(
          context,
          {},
          [this](runtime::HttpRequest request,
                 runtime::HttpExchange& exchange) {
            return store_.Handle(std::move(request), exchange);
          },
          metrics_),
      fault_free_since_(std::chrono::steady_clock::now()) {
  std::string error;
  PG_CHECK(store_server_.Listen({"127.0.0.1", options.first_port}, error));
  PublishRules(1);
  PublishWeights(1);
  std::uint16_t port = options.first_port + kServerOffset;
  for (std::size_t i = 0; i < options.engines + options.plain_servers; ++i) {
    servers_.push_back(std::make_unique<ServerStandIn>(
        environment_, i < options.engines ? "engines" : "plain", port,
        options.seed + i));
    servers_.back()->Start(false);
    port += kPortsPerServer;
  }
  for (std::size_t i = 0; i < options.gateways; ++i) {
    GatewayProcess gateway;
    const auto proxy =
        static_cast<std::uint16_t>(options.first_port + kStoreProxyOffset + i);
    gateway.store_link = std::make_unique<prove::LinkProxy>(
        context, runtime::Endpoint{"127.0.0.1", proxy},
        runtime::Endpoint{"127.0.0.1", options.first_port}, options.seed + i,
        prove::LinkUnit::kBytes);
    gateway.caller_endpoint = {
        GatewayHost(i),
        static_cast<std::uint16_t>(options.first_port + kGatewayPortOffset)};
    gateway.settings_path =
        options.work_dir + "/gateway-" + std::to_string(i) + ".yaml";
    gateway.log_path =
        options.work_dir + "/gateway-" + std::to_string(i) + ".log";
    gateways_.push_back(std::move(gateway));
    WriteSettings(i);
    StartGateway(i);
  }
}

void SoakFleet::WriteSettings(std::size_t index) {
  const int port = options_.first_port + kGatewayPortOffset;
  const std::string host = GatewayHost(index);
  std::ofstream file(gateways_[index].settings_path);
  file << fmt::format(
      "instance: gateway-{}\ndata_centre: {}\nlisten:\n  callers: {}:{}\n"
      "  readiness: {}:{}\n  peers: {}:{}\n  operators: {}:{}\n"
      "stop_within_ms: 8000\nstore: 127.0.0.1:{}\nseeds: [{}:{}, {}:{}]\n"
      "retries:\n  ratio: 0.2\n  slack: 58\norders:\n  lease_ms: 3000\n"
      "  deadline_ms: 10000\nlimits:\n  memory_mb: 110\n",
      index, index + 1 == options_.gateways ? "two" : "one", host, port, host,
      port + 1, host, port + 2, host, port + 3,
      options_.first_port + kStoreProxyOffset + index, GatewayHost(0), port + 2,
      GatewayHost(1), port + 2);
}

void SoakFleet::StartGateway(std::size_t index) {
  GatewayProcess& it = gateways_[index];
  it.child = prove::Child(
      {options_.program, "gateway", "--settings", it.settings_path},
      it.log_path);
  it.expected_down = false;
}

void SoakFleet::PublishRules(std::int64_t version) {
  rules_version_ = version;
  json::object config;
  config["version"] = version;
  config["routes"] = json::array{
      MakeRoute("/stream/", "stream", "engines"),
      MakeRoute("/book/", "unsafe", "plain"),
      MakeRoute("/look/", "safe", "plain"),
      MakeRoute(fmt::format("/probe-{}/", version), "safe", "plain")};
  config["services"] = json::array{
      json::object{
          {"name", "engines"},
          {"health_path", "/health"},
          {"max_conns", 300},
          {"engine", json::object{{"slots", 64}, {"kv_tokens", 100000}}}},
      json::object{
          {"name", "plain"}, {"health_path", "/health"}, {"max_conns", 110}}};
  config["limits"] = json::object{{"max_header_bytes", 16384},
                                  {"max_body_bytes", 4194304},
                                  {"header_timeout_ms", 3000},
                                  {"idle_timeout_ms", 15000}};
  config["tenants"] = json::array{
      json::object{{"name", "first"}, {"api_keys", json::array{"key-first"}}},
      json::object{{"name", "second"},
                   {"api_keys", json::array{"key-second"}},
                   {"dedicated", true}}};
  store_.Put("op", "config", config);
}

void SoakFleet::PublishWeights(std::int64_t version) {
  weights_version_ = version;
  store_.Put("op", "version/model", {{"model", "model"}, {"version", version}});
}

void SoakFleet::WriteRowsAgain() {
  PublishRules(rules_version_);
  PublishWeights(weights_version_);
  for (const auto& it : servers_) {
    it->WriteRowAgain();
  }
}

void SoakFleet::ExpireServerRows() {
  for (const std::string& key : store_.Keys("servers")) {
    const bool live =
        std::any_of(servers_.begin(), servers_.end(),
                    [&](const auto& it) { return it->IsUp(key); });
    if (!live) {
      store_.Remove("servers", key);
    }
  }
}

void SoakFleet::BeginFault() {
  ++active_faults_;
  fault_free_since_ = SteadyTime::max() - std::chrono::hours(1);
}

void SoakFleet::EndFault() {
  if (--active_faults_ == 0) {
    fault_free_since_ = std::chrono::steady_clock::now();
  }
}

std::vector<runtime::Endpoint> SoakFleet::caller_endpoints() const {
  std::vector<runtime::Endpoint> endpoints;
  for (const GatewayProcess& it : gateways_) {
    endpoints.push_back(it.caller_endpoint);
  }
  return endpoints;
}

}  // namespace peridotgate::soak
