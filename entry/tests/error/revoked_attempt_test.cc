// Guards against reporting "not run" for a call that is not repeatable and may
// have run: its link was lost after the dispatch, and its agent is asked to
// revoke it.
#include <gtest/gtest.h>

#include "../router_harness.h"

namespace peridotgate::entry {
namespace {

const Id128 kRequest{7, 7};

void Refuse(wire::Link& link, const wire::Dispatch& dispatch) {
  wire::Refusal refusal;
  refusal.request_id = dispatch.request_id;
  refusal.attempt = dispatch.attempt;
  refusal.outcome = wire::Outcome::kNotRun;
  refusal.reason = wire::Reason::kRevoked;
  link.Send(refusal);
}

// The reported outcome of a call that is not repeatable if its link closes at
// the dispatch and the agent answers the revocation with `answer`.
wire::Outcome::type OutcomeAfter(const wire::CancelResult& answer) {
  RouterHarness harness;
  auto on_message = [&](wire::Link& link, const wire::Message& message) {
    const auto* dispatch = std::get_if<wire::Dispatch>(&message);
    if (dispatch != nullptr && dispatch->repeatable) {
      Refuse(link, *dispatch);
    } else if (dispatch != nullptr) {
      link.Close();
    } else if (const auto* cancel = std::get_if<wire::Cancel>(&message)) {
      wire::CancelResult result = answer;
      result.request_id = cancel->request_id;
      result.attempt = cancel->attempt;
      link.Send(result);
    }
  };
  FakeAgent agent(harness.duty.context(), harness.metrics,
                  FreeEndpoint(harness.duty.context()), on_message);
  harness.SetAgents({agent.endpoint()});
  // A first call opens the link, on which the agent sends its incarnation.
  harness.Route({1, 1}, true);
  EXPECT_TRUE(harness.RunUntil([&] { return harness.Ended(); }));
  harness.received.clear();
  harness.Route(kRequest, false);
  EXPECT_TRUE(harness.RunUntil([&] { return harness.Ended(); }));
  return std::get<CallRefused>(harness.received.back().payload).outcome;
}

wire::CancelResult Answer(wire::Outcome::type outcome,
                          std::int64_t incarnation) {
  wire::CancelResult result;
  result.outcome = outcome;
  result.incarnation = incarnation;
  return result;
}

TEST(RevokedAttempt, NotRunIsReportedOnlyIfTheSameAgentProcessConfirmsIt) {
  {
    SCOPED_TRACE("the agent process that received the attempt confirms it");
    EXPECT_EQ(OutcomeAfter(Answer(wire::Outcome::kNotRun, 1)),
              wire::Outcome::kNotRun);
  }
  {
    SCOPED_TRACE(
        "another process confirms it: the earlier one may have run it");
    EXPECT_EQ(OutcomeAfter(Answer(wire::Outcome::kNotRun, 2)),
              wire::Outcome::kUnknown);
  }
  {
    SCOPED_TRACE("the attempt already reached its backend");
    EXPECT_EQ(OutcomeAfter(Answer(wire::Outcome::kUnknown, 1)),
              wire::Outcome::kUnknown);
  }
}

TEST(RevokedAttempt, SilentLinkEndsTheCallWithUnknownOutcome) {
  RouterHarness harness;
  int dispatches = 0;
  FakeAgent agent(harness.duty.context(), harness.metrics,
                  FreeEndpoint(harness.duty.context()),
                  [&](wire::Link& /*link*/, const wire::Message& message) {
                    dispatches +=
                        std::holds_alternative<wire::Dispatch>(message) ? 1 : 0;
                  });
  agent.set_silent();
  harness.SetAgents({agent.endpoint()});
  harness.Route(kRequest, false);
  ASSERT_TRUE(harness.RunUntil([&] { return harness.Ended(); }));
  EXPECT_EQ(dispatches, 1);
  EXPECT_EQ(std::get<CallRefused>(harness.received.back().payload).outcome,
            wire::Outcome::kUnknown);
}

}  // namespace
}  // namespace peridotgate::entry
