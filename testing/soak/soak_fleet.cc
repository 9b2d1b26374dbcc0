#include "soak/soak_fleet.h"

#include <fstream>

#include <spdlog/fmt/fmt.h>

#include "coordination/check.h"

namespace peridotgate::soak {
namespace {

// Ports from the first one on: the store, its proxies, servers with theirs;
// gateways have addresses of their own.
constexpr std::uint16_t kStoreProxies = 10;
constexpr std::uint16_t kServers = 40;
constexpr std::uint16_t kPortsOfServer = 2;
constexpr std::uint16_t kGatewayPorts = 100;
constexpr int kFirstHost = 10;

std::string HostOf(std::size_t index) {
  return "127.0.0." + std::to_string(kFirstHost + index);
}

json::object Route(const std::string& prefix,
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
      around_{context, store_,   ledger_,
              report,  metrics_, [this] { return calm_since_; }},
      store_server_(
          context,
          {},
          [this](runtime::HttpRequest request,
                 runtime::HttpExchange& exchange) {
            return store_.Handle(std::move(request), exchange);
          },
          metrics_),
      calm_since_(std::chrono::steady_clock::now()) {
  std::string error;
  PG_CHECK(store_server_.Listen({"127.0.0.1", options.port}, error));
  NameRules(1);
  NameWeights(1);
  std::uint16_t port = options.port + kServers;
  for (std::size_t i = 0; i < options.engines + options.plain; ++i) {
    servers_.push_back(std::make_unique<ServerStandIn>(
        around_, i < options.engines ? "engines" : "plain", port,
        options.seed + i));
    servers_.back()->Start(false);
    port += kPortsOfServer;
  }
  for (std::size_t i = 0; i < options.gateways; ++i) {
    GatewayProcess gateway;
    const auto proxy =
        static_cast<std::uint16_t>(options.port + kStoreProxies + i);
    gateway.store = std::make_unique<prove::LinkProxy>(
        context, runtime::Endpoint{"127.0.0.1", proxy},
        runtime::Endpoint{"127.0.0.1", options.port}, options.seed + i,
        prove::LinkUnit::kBytes);
    gateway.callers = {
        HostOf(i), static_cast<std::uint16_t>(options.port + kGatewayPorts)};
    gateway.settings = options.work + "/gateway-" + std::to_string(i) + ".yaml";
    gateway.log = options.work + "/gateway-" + std::to_string(i) + ".log";
    gateways_.push_back(std::move(gateway));
    WriteSettings(i);
    StartGateway(i);
  }
}

void SoakFleet::WriteSettings(std::size_t index) {
  const int port = options_.port + kGatewayPorts;
  const std::string host = HostOf(index);
  std::ofstream file(gateways_[index].settings);
  file << fmt::format(
      "instance: gateway-{}\ndata_centre: {}\nlisten:\n  callers: {}:{}\n"
      "  readiness: {}:{}\n  peers: {}:{}\n  operators: {}:{}\n"
      "stop_within_ms: 8000\nstore: 127.0.0.1:{}\nseeds: [{}:{}, {}:{}]\n"
      "retries:\n  ratio: 0.2\n  slack: 58\norders:\n  lease_ms: 3000\n"
      "  deadline_ms: 10000\nlimits:\n  memory_mb: 110\n",
      index, index + 1 == options_.gateways ? "two" : "one", host, port, host,
      port + 1, host, port + 2, host, port + 3,
      options_.port + kStoreProxies + index, HostOf(0), port + 2, HostOf(1),
      port + 2);
}

void SoakFleet::StartGateway(std::size_t index) {
  GatewayProcess& it = gateways_[index];
  it.child = prove::Child(
      {options_.program, "gateway", "--settings", it.settings}, it.log);
  it.expected_down = false;
}

void SoakFleet::NameRules(std::int64_t version) {
  json::object config;
  config["version"] = version;
  config["routes"] = json::array{
      Route("/stream/", "stream", "engines"),
      Route("/book/", "unsafe", "plain"), Route("/look/", "safe", "plain"),
      Route(fmt::format("/probe-{}/", version), "safe", "plain")};
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

void SoakFleet::NameWeights(std::int64_t version) {
  weights_ = version;
  store_.Put("op", "version/model", {{"model", "model"}, {"version", version}});
}

void SoakFleet::BeginFault() {
  ++standing_;
  calm_since_ = SteadyTime::max() - std::chrono::hours(1);
}

void SoakFleet::EndFault() {
  if (--standing_ == 0) {
    calm_since_ = std::chrono::steady_clock::now();
  }
}

std::vector<runtime::Endpoint> SoakFleet::callers() const {
  std::vector<runtime::Endpoint> callers;
  for (const GatewayProcess& it : gateways_) {
    callers.push_back(it.callers);
  }
  return callers;
}

}  // namespace peridotgate::soak
