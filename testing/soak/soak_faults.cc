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

// A gateway must exit within this time of SIGTERM: `stop_within_ms` of the
// gateways' settings. It leaves no margin for a busy machine.
constexpr milliseconds kStopLimit{8000};
constexpr milliseconds kPoll{20};

}  // namespace

std::span<const SoakFaults::NamedFault> SoakFaults::AllFaults() {
  static constexpr std::array kAll = {
      NamedFault{"gateway_killed", &SoakFaults::KillGateway},
      NamedFault{"all_gateways_killed", &SoakFaults::KillAllGateways},
      NamedFault{"gateway_terminated", &SoakFaults::TerminateGateway},
      NamedFault{"gateway_paused", &SoakFaults::PauseGateway},
      NamedFault{"gateway_reloaded", &SoakFaults::ReloadGateway},
      NamedFault{"gateway_cut_from_store", &SoakFaults::CutGatewayFromStore},
      NamedFault{"store_connections_silent",
                 &SoakFaults::SilenceStoreConnections},
      NamedFault{"store_down", &SoakFaults::TakeStoreDown},
      NamedFault{"store_answers_lost", &SoakFaults::LoseStoreResponses},
      NamedFault{"store_forgets", &SoakFaults::TrimStoreHistory},
      NamedFault{"store_restored", &SoakFaults::RestoreStore},
      NamedFault{"server_crashed", &SoakFaults::CrashServer},
      NamedFault{"server_connections_cut", &SoakFaults::CutServerConnections},
      NamedFault{"server_connections_silent",
                 &SoakFaults::SilenceServerConnections},
      NamedFault{"server_leaves", &SoakFaults::DrainServer},
      NamedFault{"weights_named", &SoakFaults::PublishWeights},
      NamedFault{"order_late", &SoakFaults::DelayOrder},
      NamedFault{"server_limited", &SoakFaults::LimitServer}};
  return kAll;
}

asio::awaitable<void> SoakFaults::Pause(std::int64_t min_ms,
                                        std::int64_t max_ms) {
  std::uniform_int_distribution<std::int64_t> time(min_ms, max_ms);
  asio::steady_timer timer(fleet_.environment().context,
                           milliseconds(time(random_)));
  co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
}

asio::awaitable<void> SoakFaults::InjectFaults(milliseconds time) {
  const auto end = std::chrono::steady_clock::now() + time;
  while (std::chrono::steady_clock::now() < end) {
    const auto all = AllFaults();
    asio::co_spawn(fleet_.environment().context,
                   Inject(all[random_() % all.size()]), asio::detached);
    co_await Pause(50, 1200);
  }
  while (running_faults_ > 0) {
    co_await Pause(kPoll.count(), kPoll.count());
  }
}

asio::awaitable<void> SoakFaults::Inject(NamedFault fault) {
  ++running_faults_;
  fleet_.BeginFault();
  fleet_.environment().report.AddOutcome(fault.name);
  co_await (this->*fault.fault)();
  fleet_.EndFault();
  --running_faults_;
}

std::optional<std::size_t> SoakFaults::PickFreeGateway() {
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

ServerStandIn& SoakFaults::PickServer() {
  return *fleet_.servers()[random_() % fleet_.servers().size()];
}

asio::awaitable<void> SoakFaults::KillGateway() {
  const auto index = PickFreeGateway();
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
  while (const auto index = PickFreeGateway()) {
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
  const auto index = PickFreeGateway();
  if (!index) {
    co_return;
  }
  GatewayProcess& it = fleet_.gateways()[*index];
  it.expected_down = true;
  it.child.Terminate();
  const auto limit = std::chrono::steady_clock::now() + kStopLimit;
  bool ended = it.child.Ended();
  while (!ended && std::chrono::steady_clock::now() < limit) {
    co_await Pause(kPoll.count(), kPoll.count());
    ended = it.child.Ended();
  }
  fleet_.environment().report.Check("ends_within_its_time", ended);
  fleet_.environment().report.Check("ends_in_order",
                                    !ended || it.child.status() == 0);
  it.child.Kill();
  fleet_.StartGateway(*index);
}

asio::awaitable<void> SoakFaults::PauseGateway() {
  const auto index = PickFreeGateway();
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
  if (const auto index = PickFreeGateway()) {
    fleet_.gateways()[*index].child.Reload();
  }
  co_return;
}

asio::awaitable<void> SoakFaults::CutGatewayFromStore() {
  GatewayProcess& it = fleet_.gateways()[random_() % fleet_.gateways().size()];
  const auto end =
      std::chrono::steady_clock::now() + milliseconds(random_() % 4000);
  do {
    it.store_link->Cut();
    co_await Pause(kPoll.count(), kPoll.count());
  } while (std::chrono::steady_clock::now() < end);
}

asio::awaitable<void> SoakFaults::SilenceStoreConnections() {
  GatewayProcess& it = fleet_.gateways()[random_() % fleet_.gateways().size()];
  it.store_link->HalfOpen(prove::SilentWay::kBoth);
  co_await Pause(1000, 3000);
}

asio::awaitable<void> SoakFaults::TakeStoreDown() {
  fleet_.store().faults.down = true;
  co_await Pause(300, 4000);
  fleet_.store().faults.down = false;
}

asio::awaitable<void> SoakFaults::LoseStoreResponses() {
  fleet_.store().faults.lose_responses = true;
  co_await Pause(300, 3000);
  fleet_.store().faults.lose_responses = false;
}

asio::awaitable<void> SoakFaults::TrimStoreHistory() {
  fleet_.store().TrimHistory();
  co_return;
}

// The store is away and comes back from a copy some seconds old. The operator
// and the servers write their rows again, and rows that no server renews
// expire.
asio::awaitable<void> SoakFaults::RestoreStore() {
  RowStoreStandIn& store = fleet_.store();
  store.Backup();
  co_await Pause(300, 4000);
  store.faults.down = true;
  co_await Pause(200, 1500);
  store.Restore();
  store.faults.down = false;
  co_await Pause(0, 1500);
  fleet_.WriteRowsAgain();
  co_await Pause(1000, 3000);
  fleet_.ExpireServerRows();
}

asio::awaitable<void> SoakFaults::CrashServer() {
  ServerStandIn& it = PickServer();
  const bool same_id = random_() % 2 == 0;
  it.Crash();
  co_await Pause(100, 2000);
  it.Start(same_id);
}

asio::awaitable<void> SoakFaults::CutServerConnections() {
  PickServer().proxy().Cut();
  co_return;
}

asio::awaitable<void> SoakFaults::SilenceServerConnections() {
  PickServer().proxy().HalfOpen(prove::SilentWay::kBoth);
  co_await Pause(500, 3000);
}

asio::awaitable<void> SoakFaults::DrainServer() {
  co_await PickServer().Drain();
}

asio::awaitable<void> SoakFaults::LimitServer() {
  ServerStandIn& it = PickServer();
  it.SetLimit(static_cast<double>(1 + random_() % 20));
  co_await Pause(500, 4000);
  it.SetLimit(0);
}

// An order gets no answer and is carried out late, half of the time after its
// server has restarted under its id, so that its count of orders starts anew.
asio::awaitable<void> SoakFaults::DelayOrder() {
  constexpr milliseconds kDelay{4000};
  ServerStandIn& it = PickServer();
  const bool restarts = random_() % 2 == 0;
  it.DelayNextOrder(kDelay);
  fleet_.PublishWeights(fleet_.weights_version() + 1);
  co_await Pause(1000, 2500);
  fleet_.PublishWeights(fleet_.weights_version() + 1);
  if (restarts) {
    it.Crash();
    co_await Pause(100, 500);
    it.Start(true);
  }
  co_await Pause(kDelay.count(), kDelay.count());
}

asio::awaitable<void> SoakFaults::PublishWeights() {
  fleet_.PublishWeights(fleet_.weights_version() + 1);
  co_return;
}

}  // namespace peridotgate::soak
