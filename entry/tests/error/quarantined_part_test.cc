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

// An agent that has just started does not know the part yet.
TEST(QuarantinedPart, ReachesNoAgentIfTheEntryKnowsOfIt) {
  constexpr std::int64_t kDeadly = -7;
  constexpr std::int64_t kOther = 8;
  RouterHarness harness;
  int dispatches = 0;
  FakeAgent agent(harness.duty.context(), harness.metrics,
                  FreeEndpoint(harness.duty.context()),
                  [&](wire::Link& /*link*/, const wire::Message& message) {
                    dispatches +=
                        std::holds_alternative<wire::Dispatch>(message) ? 1 : 0;
                  });
  coordination::Quarantine quarantine;
  quarantine.part = static_cast<coordination::PartKey>(kDeadly);
  quarantine.until = harness.clock.Now() + std::chrono::seconds(30);
  harness.SetAgents({agent.endpoint()}, {quarantine});
  {
    SCOPED_TRACE("a call with the part is refused, before any attempt");
    harness.Route({7, 7}, true, {kOther, kDeadly});
    ASSERT_TRUE(harness.RunUntil([&] { return harness.Ended(); }));
    const auto& refused =
        std::get<CallRefused>(harness.received.back().payload);
    EXPECT_EQ(refused.outcome, wire::Outcome::kNotRun);
    EXPECT_EQ(refused.reason, wire::Reason::kQuarantinedPart);
    EXPECT_GT(refused.retry_after_ms, 20000);
    EXPECT_EQ(dispatches, 0);
  }
  {
    SCOPED_TRACE("others are sent, and all are when the term is over");
    harness.Route({8, 8}, true, {kOther});
    EXPECT_TRUE(harness.RunUntil([&] { return dispatches == 1; }));
    quarantine.until = harness.clock.Now();
    harness.SetAgents({agent.endpoint()}, {quarantine});
    harness.Route({9, 9}, true, {kOther, kDeadly});
    EXPECT_TRUE(harness.RunUntil([&] { return dispatches >= 2; }));
  }
}

}  // namespace
}  // namespace peridotgate::entry
