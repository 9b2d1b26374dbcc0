#include "prove/test_fleet.h"

#include <cstdio>
#include <fstream>

#include <spdlog/fmt/fmt.h>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json.hpp>

#include "coordination/check.h"

namespace peridotgate::prove {
namespace {

namespace http = runtime::http;
namespace json = boost::json;
using runtime::Endpoint;
using runtime::ToString;

// Port offsets from the base port.
constexpr std::size_t kCallerPorts = 10;
constexpr std::size_t kEntryOperatorPorts = 20;
constexpr std::size_t kEntryPeerPorts = 30;
constexpr std::size_t kEntryProxyPorts = 40;
constexpr std::size_t kServerPorts = 60;
constexpr std::size_t kAgentPeerPorts = 100;
constexpr std::size_t kAgentOperatorPorts = 130;
constexpr std::size_t kAgentProxyPorts = 160;

constexpr std::chrono::milliseconds kPoll{50};
constexpr std::uint64_t kSeedStride = 1 << 20;
constexpr int kExitNotEverywhere = 6;
constexpr int kMaxReadyPolls = 400;
constexpr std::chrono::milliseconds kGetTimeout{2000};

constexpr std::string_view kAgentSettings = R"(instance: {}
data_centre: dc-0
target: "{}"
kind: {}
listen:
  peers: {}
  operators: {}
backend_server: {}
advertised: [{}]
platform:
  table: {}
  instances: {}
  objects: [{}]
)";

constexpr std::string_view kEntrySettings = R"(instance: {}
data_centre: dc-0
seeds: [{}]
advertised: [{}]
listen:
  callers: {}
  operators: {}
  peers: {}
platform:
  table: {}
  instances: {}
)";

asio::awaitable<void> SleepPoll(asio::io_context& context) {
  asio::steady_timer timer(context, kPoll);
  co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
}

}  // namespace

TestFleet::TestFleet(asio::io_context& context, FleetOptions options)
    : context_(context), options_(std::move(options)) {
  platform_address_ = AddressAt(0);
  StartPlatform();
  backends_.resize(options_.engines + options_.services);
  for (std::size_t i = 0; i < backends_.size(); ++i) {
    StartBackend(i);
  }
  entries_.resize(options_.entries);
  WriteInstances();
}

TestFleet::~TestFleet() = default;

Endpoint TestFleet::AddressAt(std::size_t offset) const {
  return {"127.0.0.1", static_cast<std::uint16_t>(options_.base_port + offset)};
}

std::string TestFleet::LogPath(const std::string& name) const {
  return options_.work + "/" + name + ".log";
}

std::string TestFleet::WriteSettings(const std::string& name,
                                     const std::string& text) {
  std::string path = options_.work + "/" + name + ".yaml";
  std::ofstream(path) << text;
  return path;
}

void TestFleet::StartPlatform() {
  platform_ = Child({options_.build + "/testing/standin-platform", "--listen",
                     ToString(platform_address_), "--instances",
                     options_.work + "/instances.json"},
                    LogPath("platform"));
}

void TestFleet::StartBackend(std::size_t index) {
  Backend& it = backends_[index];
  const bool engine = index < options_.engines;
  it.agent_name = fmt::format("agent-{}", index);
  it.server_address = AddressAt(kServerPorts + index);
  it.agent_address = AddressAt(kAgentPeerPorts + index);
  it.agent_operators = AddressAt(kAgentOperatorPorts + index);
  it.proxy_address = AddressAt(kAgentProxyPorts + index);
  it.server_command = {
      options_.build + "/testing/" +
          (engine ? "standin-engine" : "standin-service"),
      "--listen", ToString(it.server_address),
      engine ? "--token-us" : "--service-us",
      std::to_string(engine ? options_.token_us : options_.service_us)};
  if (engine && !options_.crash_on.empty()) {
    it.server_command.emplace_back("--crash-on");
    it.server_command.push_back(options_.crash_on);
  }
  if (engine && index % 2 == 1) {
    it.server_command.emplace_back("--check-fencing");
  }
  const std::string settings = WriteSettings(
      it.agent_name,
      fmt::format(kAgentSettings, it.agent_name,
                  engine ? "model:horn-1" : "service:desk",
                  engine ? "engine" : "service", ToString(it.agent_address),
                  ToString(it.agent_operators), ToString(it.server_address),
                  ToString(it.proxy_address), ToString(platform_address_),
                  ToString(platform_address_), ToString(platform_address_)));
  it.agent_command = {options_.build + "/agent/peridotgate-agent", "--settings",
                      settings};
  it.proxy =
      std::make_unique<LinkProxy>(context_, it.proxy_address, it.agent_address,
                                  options_.seed + kSeedStride * (index + 1));
  RestartServer(index);
  RestartAgent(index);
}

void TestFleet::StartEntry(std::size_t index) {
  EntryProcess& it = entries_[index];
  it.name = fmt::format("entry-{}", index);
  it.callers = AddressAt(kCallerPorts + index);
  it.operators = AddressAt(kEntryOperatorPorts + index);
  const std::string settings = WriteSettings(
      it.name,
      fmt::format(
          kEntrySettings, it.name, ToString(AddressAt(kAgentProxyPorts)),
          ToString(AddressAt(kEntryProxyPorts + index)), ToString(it.callers),
          ToString(it.operators), ToString(AddressAt(kEntryPeerPorts + index)),
          ToString(platform_address_), ToString(platform_address_)));
  it.command = {options_.build + "/operate/peridotgate", "serve", "--settings",
                settings};
  it.proxy = std::make_unique<LinkProxy>(
      context_, AddressAt(kEntryProxyPorts + index),
      AddressAt(kEntryPeerPorts + index),
      options_.seed + kSeedStride * (backends_.size() + index + 1));
  RestartEntry(index);
}

void TestFleet::RestartAgent(std::size_t index) {
  Backend& it = backends_[index];
  it.agent.Kill();
  it.agent = Child(it.agent_command, LogPath(it.agent_name));
}

void TestFleet::RestartServer(std::size_t index) {
  Backend& it = backends_[index];
  it.server.Kill();
  it.server =
      Child(it.server_command, LogPath(fmt::format("server-{}", index)));
}

void TestFleet::RestartEntry(std::size_t index) {
  EntryProcess& it = entries_[index];
  it.process.Kill();
  it.process = Child(it.command, LogPath(it.name));
}

void TestFleet::AddEntry() {
  entries_.emplace_back();
  StartEntry(entries_.size() - 1);
}

void TestFleet::WriteInstances() {
  json::array list;
  for (std::size_t i = 0; i < backends_.size(); ++i) {
    const Backend& it = backends_[i];
    list.push_back(
        {{"instance", it.agent_name},
         {"role", "agent"},
         {"data_centre", "dc-0"},
         {"address", ToString(AddressAt(kAgentProxyPorts + i))},
         {"target", i < options_.engines ? "model:horn-1" : "service:desk"},
         {"state", it.leaving ? "leaving" : "live"},
         {"operators", ToString(it.agent_operators)}});
  }
  for (std::size_t i = 0; i < options_.entries; ++i) {
    list.push_back(
        {{"instance", fmt::format("entry-{}", i)},
         {"role", "entry"},
         {"data_centre", "dc-0"},
         {"address", ToString(AddressAt(kEntryProxyPorts + i))},
         {"target", ""},
         {"state", "live"},
         {"operators", ToString(AddressAt(kEntryOperatorPorts + i))}});
  }
  const std::string path = options_.work + "/instances.json";
  std::ofstream(path + ".new")
      << json::serialize(json::object{{"instances", list}});
  PG_CHECK(std::rename((path + ".new").c_str(), path.c_str()) == 0);
}

std::vector<LinkProxy*> TestFleet::Proxies() {
  std::vector<LinkProxy*> all;
  for (Backend& it : backends_) {
    all.push_back(it.proxy.get());
  }
  for (EntryProcess& it : entries_) {
    all.push_back(it.proxy.get());
  }
  return all;
}

asio::awaitable<std::string> TestFleet::Get(Endpoint from, std::string path) {
  runtime::HttpClient client(context_, from);
  auto request = runtime::MakeRequest(http::verb::get, path);
  auto response = co_await client.Fetch(std::move(request), kGetTimeout);
  const bool good = response && response.value().result() == http::status::ok;
  co_return good ? response.value().body() : std::string();
}

asio::awaitable<bool> TestFleet::WaitUntilReady() {
  for (int i = 0; i < kMaxReadyPolls; ++i) {
    const std::string counts = co_await Get(platform_address_, "/counts");
    if (!counts.empty()) {
      break;
    }
    co_await SleepPoll(context_);
  }
  Child apply({options_.build + "/operate/peridotgate", "apply", "--rules",
               options_.rules, "--table", ToString(platform_address_), "--base",
               "0", "--author", "prove", "--wait", "0"},
              LogPath("apply"));
  for (int i = 0; i < kMaxReadyPolls && !apply.Ended(); ++i) {
    co_await SleepPoll(context_);
  }
  if (apply.running() ||
      (apply.status() != 0 && apply.status() != kExitNotEverywhere)) {
    co_return false;
  }
  for (std::size_t i = 0; i < entries_.size(); ++i) {
    StartEntry(i);
  }
  for (std::size_t i = 0; i < entries_.size(); ++i) {
    if (!co_await WaitUntilEntryReady(i)) {
      co_return false;
    }
  }
  co_return AllRunning();
}

// A process whose port was in use has exited; then another program answers at
// that port, and a ready answer from there means nothing.
bool TestFleet::AllRunning() {
  bool all = !platform_.Ended();
  for (Backend& it : backends_) {
    all = !it.server.Ended() && !it.agent.Ended() && all;
  }
  for (EntryProcess& it : entries_) {
    all = !it.process.Ended() && all;
  }
  return all;
}

asio::awaitable<bool> TestFleet::WaitUntilEntryReady(std::size_t index) {
  for (int i = 0; i < kMaxReadyPolls; ++i) {
    const std::string text = co_await Get(entries_[index].operators, "/readyz");
    if (!text.empty()) {
      co_return true;
    }
    co_await SleepPoll(context_);
  }
  co_return false;
}

asio::awaitable<bool> TestFleet::SetPlatformFaults(PlatformFaults faults) {
  runtime::HttpClient client(context_, platform_address_);
  const json::object body{{"down", faults.down},
                          {"lose_answers", faults.lose_answers},
                          {"delay_us", faults.delay_us}};
  auto request =
      runtime::MakeRequest(http::verb::post, "/faults", json::serialize(body));
  auto response = co_await client.Fetch(std::move(request), kGetTimeout);
  co_return response.has_value();
}

}  // namespace peridotgate::prove
