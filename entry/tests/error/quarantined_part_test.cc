// A request that an agent refuses because servers crash on a part of it must
// not be sent to the next agent.
#include <gtest/gtest.h>

#include "../router_harness.h"

namespace peridotgate::entry {
namespace {

TEST(QuarantinedPart, IsNotSentToTheNextAgent) {
  RouterHarness harness;
  int dispatches = 0;
  const auto refuse = [&](wire::Link& link, const wire::Message& message) {
    const auto* dispatch = std::get_if<wire::Dispatch>(&message);
    if (dispatch == nullptr) {
      return;
    }
    ++dispatches;
    wire::Refusal refusal;
    refusal.request_id = dispatch->request_id;
    refusal.attempt = dispatch->attempt;
    refusal.outcome = wire::Outcome::kNotRun;
    refusal.reason = wire::Reason::kQuarantinedPart;
    refusal.retry_after_ms = 42000;
    link.Send(refusal);
  };
  FakeAgent one(harness.duty.context(), harness.metrics,
                FreeEndpoint(harness.duty.context()), refuse);
  FakeAgent two(harness.duty.context(), harness.metrics,
                FreeEndpoint(harness.duty.context()), refuse);
  harness.SetAgents({one.endpoint(), two.endpoint()});
  harness.Route({7, 7}, true);
  ASSERT_TRUE(harness.RunUntil([&] { return harness.Ended(); }));
  const auto& refused = std::get<CallRefused>(harness.received.back().payload);
  EXPECT_EQ(dispatches, 1);
  EXPECT_EQ(refused.outcome, wire::Outcome::kNotRun);
  EXPECT_EQ(refused.reason, wire::Reason::kQuarantinedPart);
  EXPECT_EQ(refused.retry_after_ms, 42000);
}

}  // namespace
}  // namespace peridotgate::entry
