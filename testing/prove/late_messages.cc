#include "prove/late_messages.h"

#include "wire/link.h"

namespace peridotgate::prove {
namespace {

constexpr std::chrono::milliseconds kPoll{20};
constexpr int kMaxPolls = 150;

}  // namespace

asio::awaitable<OrderAnswer> SendOrder(Run& run,
                                       std::size_t index,
                                       std::int64_t token) {
  runtime::Metrics metrics;
  auto link = wire::Link::Connecting(
      run.context(), run.fleet().backends()[index].agent_address, metrics);
  auto answer = std::make_shared<OrderAnswer>(OrderAnswer::kNone);
  link->Start(
      [answer](wire::Link& /*from*/, wire::Message&& message) {
        if (const auto* result = std::get_if<wire::OrderResult>(&message)) {
          *answer =
              result->accepted ? OrderAnswer::kAccepted : OrderAnswer::kRefused;
        }
      },
      [](wire::Link& /*closed*/) {});
  wire::Order order;
  order.lease = "orders";
  order.fencing_token = token;
  order.kind = wire::OrderKind::kLoad;
  order.model = "model:horn-1";
  order.weights_version = 1;
  link->Send(order);
  for (int i = 0; i < kMaxPolls && *answer == OrderAnswer::kNone; ++i) {
    co_await run.Sleep(kPoll);
  }
  link->Close();
  co_await run.Sleep(kPoll);
  co_return *answer;
}

asio::awaitable<void> PushSnapshot(Run& run,
                                   std::size_t index,
                                   std::int64_t version) {
  runtime::Metrics metrics;
  auto link = wire::Link::Connecting(
      run.context(), run.fleet().backends()[index].agent_address, metrics);
  link->Start([](wire::Link& /*from*/, wire::Message&& /*message*/) {},
              [](wire::Link& /*closed*/) {});
  wire::ConfigPush push;
  push.snapshot = true;
  push.changes.emplace_back();
  push.changes.back().version = version;
  link->Send(push);
  for (int i = 0; i < kMaxPolls && !link->closed() &&
                  !(link->was_connected() && link->drained());
       ++i) {
    co_await run.Sleep(kPoll);
  }
  link->Close();
  co_await run.Sleep(kPoll);
}

}  // namespace peridotgate::prove
