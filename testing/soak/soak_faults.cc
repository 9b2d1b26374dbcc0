#include "soak/soak_faults.h"

#include <algorithm>
#include <array>
#include <optional>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace peridotgate::soak {
namespace {

using std::chrono::milliseconds;

// The time from SIGTERM to the end that the settings give, and what a busy
// machine may add until the end is seen.
constexpr milliseconds kStopWithin{8000};
constexpr milliseconds kPoll{20};

}  // namespace

std::span<const SoakFaults::Named> SoakFaults::All() {
  static constexpr std::array kAll = {
      Named{"gateway_killed", &SoakFaults::KillGateway},
      Named{"all_gateways_killed", &SoakFaults::KillAllGateways},
      Named{"gateway_terminated", &SoakFaults::TerminateGateway},
      Named{"gateway_paused", &SoakFaults::PauseGateway},
      Named{"gateway_reloaded", &SoakFaults::ReloadGateway},
      Named{"gateway_cut_from_store", &SoakFaults::CutGatewayFromStore},
      Named{"store_connections_silent", &SoakFaults::SilenceStoreConnections},
      Named{"store_down", &SoakFaults::StoreDown},
      Named{"store_answers_lost", &SoakFaults::StoreLosesAnswers},
      Named{"store_forgets", &SoakFaults::StoreForgets},
      Named{"server_crashed", &SoakFaults::CrashServer},
      Named{"server_connections_cut", &SoakFaults::CutServerConnections},
      Named{"server_connections_silent", &SoakFaults::SilenceServerConnections},
      Named{"server_leaves", &SoakFaults::ServerLeaves},
      Named{"weights_named", &SoakFaults::NameWeights}};
  return kAll;
}

asio::awaitable<void> SoakFaults::Pause(std::int64_t least_ms,
                                        std::int64_t most_ms) {
  std::uniform_int_distribution<std::int64_t> time(least_ms, most_ms);
  asio::steady_timer timer(fleet_.around().context,
                           milliseconds(time(random_)));
  co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
}

asio::awaitable<void> SoakFaults::Storm(milliseconds time) {
  const auto end = std::chrono::steady_clock::now() + time;
  while (std::chrono::steady_clock::now() < end) {
    const auto all = All();
    asio::co_spawn(fleet_.around().context, Strike(all[random_() % all.size()]),
                   asio::detached);
    co_await Pause(50, 1200);
  }
  while (running_ > 0) {
    co_await Pause(kPoll.count(), kPoll.count());
  }
}

asio::awaitable<void> SoakFaults::Strike(Named fault) {
  ++running_;
  fleet_.BeginFault();
  fleet_.around().report.AddOutcome(fault.name);
  co_await (this->*fault.fault)();
  fleet_.EndFault();
  --running_;
}

std::optional<std::size_t> SoakFaults::FreeGateway() {
  auto& all = fleet_.gateways();
  const std::size_t first = random_() % all.size();
  for (std::size_t i = 0; i < all.size(); ++i) {
    const std::size_t index = (first + i) % all.size();
    if (!all[index].expected_down) {
      return index;
    }
  }
  return std::nullopt;
}

ServerStandIn& SoakFaults::AnyServer() {
  return *fleet_.servers()[random_() % fleet_.servers().size()];
}

asio::awaitable<void> SoakFaults::KillGateway() {
  const auto index = FreeGateway();
  if (!index) {
    co_return;
  }
  GatewayProcess& it = fleet_.gateways()[*index];
  it.expected_down = true;
  it.child.Kill();
  co_await Pause(100, 1500);
  fleet_.StartGateway(*index);
}

asio::awaitable<void> SoakFaults::KillAllGateways() {
  std::vector<std::size_t> killed;
  while (const auto index = FreeGateway()) {
    fleet_.gateways()[*index].expected_down = true;
    fleet_.gateways()[*index].child.Kill();
    killed.push_back(*index);
  }
  co_await Pause(100, 800);
  for (const std::size_t index : killed) {
    fleet_.StartGateway(index);
  }
}

asio::awaitable<void> SoakFaults::TerminateGateway() {
  const auto index = FreeGateway();
  if (!index) {
    co_return;
  }
  GatewayProcess& it = fleet_.gateways()[*index];
  it.expected_down = true;
  it.child.Terminate();
  const auto limit = std::chrono::steady_clock::now() + kStopWithin;
  bool ended = it.child.Ended();
  while (!ended && std::chrono::steady_clock::now() < limit) {
    co_await Pause(kPoll.count(), kPoll.count());
    ended = it.child.Ended();
  }
  fleet_.around().report.Check("ends_within_its_time", ended);
  fleet_.around().report.Check("ends_in_order",
                               !ended || it.child.status() == 0);
  it.child.Kill();
  fleet_.StartGateway(*index);
}

asio::awaitable<void> SoakFaults::PauseGateway() {
  const auto index = FreeGateway();
  if (!index) {
    co_return;
  }
  GatewayProcess& it = fleet_.gateways()[*index];
  it.expected_down = true;
  it.child.Pause();
  co_await Pause(200, 5000);
  it.child.Continue();
  it.expected_down = false;
}

asio::awaitable<void> SoakFaults::ReloadGateway() {
  if (const auto index = FreeGateway()) {
    fleet_.gateways()[*index].child.Reload();
  }
  co_return;
}

asio::awaitable<void> SoakFaults::CutGatewayFromStore() {
  GatewayProcess& it = fleet_.gateways()[random_() % fleet_.gateways().size()];
  const auto end =
      std::chrono::steady_clock::now() + milliseconds(random_() % 4000);
  do {
    it.store->Cut();
    co_await Pause(kPoll.count(), kPoll.count());
  } while (std::chrono::steady_clock::now() < end);
}

asio::awaitable<void> SoakFaults::SilenceStoreConnections() {
  GatewayProcess& it = fleet_.gateways()[random_() % fleet_.gateways().size()];
  it.store->HalfOpen(prove::SilentWay::kBoth);
  co_await Pause(1000, 3000);
}

asio::awaitable<void> SoakFaults::StoreDown() {
  fleet_.store().faults.down = true;
  co_await Pause(300, 4000);
  fleet_.store().faults.down = false;
}

asio::awaitable<void> SoakFaults::StoreLosesAnswers() {
  fleet_.store().faults.lose_answers = true;
  co_await Pause(300, 3000);
  fleet_.store().faults.lose_answers = false;
}

asio::awaitable<void> SoakFaults::StoreForgets() {
  fleet_.store().ForgetHistory();
  co_return;
}

asio::awaitable<void> SoakFaults::CrashServer() {
  ServerStandIn& it = AnyServer();
  const bool same_id = random_() % 2 == 0;
  it.Crash();
  co_await Pause(100, 2000);
  it.Start(same_id);
}

asio::awaitable<void> SoakFaults::CutServerConnections() {
  AnyServer().proxy().Cut();
  co_return;
}

asio::awaitable<void> SoakFaults::SilenceServerConnections() {
  AnyServer().proxy().HalfOpen(prove::SilentWay::kBoth);
  co_await Pause(500, 3000);
}

asio::awaitable<void> SoakFaults::ServerLeaves() {
  co_await AnyServer().Leave();
}

asio::awaitable<void> SoakFaults::NameWeights() {
  fleet_.NameWeights(fleet_.weights() + 1);
  co_return;
}

}  // namespace peridotgate::soak
