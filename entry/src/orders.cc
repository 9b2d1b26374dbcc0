#include "orders.h"

#include <algorithm>
#include <unordered_map>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "control/lease_keeper.h"
#include "wire/link.h"

namespace peridotgate::entry {
namespace {

namespace asio = boost::asio;
using coordination::KnownMember;
using coordination::TimePoint;

constexpr std::chrono::milliseconds kInterval{200};
constexpr std::chrono::milliseconds kTableTimeout{2000};
constexpr std::size_t kMaxLoadsAtOnce = 2;
// Time to wait for the result of an order, during which the engine gets no
// other order.
constexpr std::chrono::seconds kOrderTimeout{8};
// A new lease holder waits for loads that the previous holder started.
constexpr std::chrono::seconds kTakeoverDelay{2};

}  // namespace

struct Orders::Impl {
  Impl(runtime::Duty& duty,
       const coordination::Clock& clock,
       runtime::Endpoint table_address,
       const control::Node& node,
       runtime::Metrics& metrics)
      : duty(duty),
        clock(clock),
        table(duty.context(), std::move(table_address), kTableTimeout),
        keeper(duty.context(),
               clock,
               table,
               std::string(control::kOrdersLease)),
        node(node),
        metrics(metrics),
        orders_sent(metrics.GetCounter("peridotgate_entry_orders_total")),
        orders_accepted(
            metrics.GetCounter("peridotgate_entry_orders_accepted_total")),
        token_gauge(metrics.GetGauge("peridotgate_entry_fencing_token")) {}

  // An order that was sent, stored under the instance name of its agent.
  struct Pending {
    std::shared_ptr<wire::Link> link;
    TimePoint expires;
    std::int64_t weights_version = 0;
    bool answered = false;
  };

  runtime::Duty& duty;
  const coordination::Clock& clock;
  platform::HttpTable table;
  control::LeaseKeeper keeper;
  const control::Node& node;
  runtime::Metrics& metrics;
  runtime::Counter& orders_sent;
  runtime::Counter& orders_accepted;
  runtime::Gauge& token_gauge;
  std::shared_ptr<const RulesBook> rules = std::make_shared<RulesBook>();
  std::unordered_map<std::string, Pending> pending;
  std::optional<std::int64_t> last_token;
  TimePoint may_order_from;

  asio::awaitable<void> Run() {
    asio::steady_timer timer(duty.context());
    while (true) {
      timer.expires_after(kInterval);
      co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
      RefreshToken();
      ExpirePending();
      for (const wire::TargetRules& it : rules->fleet().targets) {
        OrderLoads(it);
      }
    }
  }

  void RefreshToken() {
    const auto held = keeper.token();
    if (held != last_token) {
      last_token = held;
      may_order_from = clock.Now() + kTakeoverDelay;
    }
    token_gauge.Set(held.value_or(0));
  }

  void ExpirePending() {
    std::erase_if(pending, [&](auto& it) {
      const bool old = clock.Now() >= it.second.expires;
      if (old) {
        it.second.link->Close();
      }
      return old;
    });
  }

  std::size_t CountUnanswered() const {
    return static_cast<std::size_t>(
        std::count_if(pending.begin(), pending.end(),
                      [](const auto& it) { return !it.second.answered; }));
  }

  void OrderLoads(const wire::TargetRules& target) {
    if (!target.engine || target.weights_version == 0) {
      return;
    }
    for (const KnownMember& it : node.members().members()) {
      const bool is_outdated =
          it.record.target == target.name && IsUsable(it) &&
          it.record.weights_version != 0 &&
          it.record.weights_version != target.weights_version;
      if (is_outdated && MayOrder(it.record.instance, target.weights_version)) {
        SendOrder(it.record, target);
      }
    }
  }

  bool MayOrder(const std::string& instance, std::int64_t version) const {
    auto it = pending.find(instance);
    const bool already_ordered =
        it != pending.end() &&
        (!it->second.answered || it->second.weights_version == version);
    return !already_ordered && CountUnanswered() < kMaxLoadsAtOnce;
  }

  void SendOrder(const coordination::MemberRecord& agent,
                 const wire::TargetRules& target) {
    // Check the lease right before sending, as it may have expired.
    const auto held = keeper.token();
    if (!held || held != last_token || clock.Now() < may_order_from) {
      return;
    }
    wire::Order order;
    order.order_id = wire::ToWire(coordination::NewId());
    order.lease = control::kOrdersLease;
    order.fencing_token = *held;
    order.kind = wire::OrderKind::kLoad;
    order.model = target.name;
    order.weights_version = target.weights_version;
    Pending& it = pending[agent.instance];
    it = {wire::Link::Connecting(duty.context(),
                                 {agent.address.address, agent.address.port},
                                 metrics),
          clock.Now() + kOrderTimeout, target.weights_version, false};
    it.link->Start(
        [this, instance = agent.instance](wire::Link& from,
                                          const wire::Message& message) {
          OnMessage(instance, from, message);
        },
        [](wire::Link&) {});
    it.link->Send(order);
    orders_sent.Add();
  }

  void OnMessage(const std::string& instance,
                 wire::Link& from,
                 const wire::Message& message) {
    const auto* result = std::get_if<wire::OrderResult>(&message);
    auto it = pending.find(instance);
    if (result == nullptr || it == pending.end() ||
        it->second.link->number() != from.number()) {
      return;
    }
    orders_accepted.Add(result->accepted ? 1 : 0);
    it->second.answered = true;
  }
};

Orders::Orders(runtime::Duty& duty,
               const coordination::Clock& clock,
               runtime::Endpoint table,
               const control::Node& node,
               runtime::Metrics& metrics)
    : impl_(std::make_unique<Impl>(duty,
                                   clock,
                                   std::move(table),
                                   node,
                                   metrics)) {}

Orders::~Orders() = default;

void Orders::Start() {
  impl_->keeper.Start();
  asio::co_spawn(impl_->duty.context(), impl_->Run(), asio::detached);
}

void Orders::OnRules(std::shared_ptr<const RulesBook> rules) {
  impl_->rules = std::move(rules);
}

}  // namespace peridotgate::entry
