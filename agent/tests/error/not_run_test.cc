// "Not run" may be reported only for a call that was not sent to the server and
// never will be, since the entry then runs it elsewhere.
#include <gtest/gtest.h>

#include "../core_harness.h"

namespace peridotgate::agent {
namespace {

TEST(NotRun, UnusedClaimIsReleased) {
  {
    SCOPED_TRACE("claimed after the wait limit");
    CoreHarness harness;
    harness.core.OnDispatch(kLink, CoreHarness::MakeDispatch(7, false));
    harness.clock.Advance(std::chrono::seconds(2));
    harness.AnswerClaim(ClaimOutcome::kClaimed);
    EXPECT_TRUE(harness.outputs.Calls().empty());
    EXPECT_EQ(harness.LastResult(), wire::ClaimState::kNotRun);
    ASSERT_EQ(harness.outputs.All<wire::Refusal>().size(), 1U);
    EXPECT_EQ(harness.outputs.All<wire::Refusal>()[0].outcome,
              wire::Outcome::kNotRun);
  }
  {
    SCOPED_TRACE("the channel to the backend thread is full");
    CoreHarness harness;
    harness.core.OnDispatch(kLink, CoreHarness::MakeDispatch(7, false));
    harness.outputs.backend_full = true;
    harness.AnswerClaim(ClaimOutcome::kClaimed);
    EXPECT_EQ(harness.LastResult(), wire::ClaimState::kNotRun);
    EXPECT_EQ(harness.outputs.All<wire::Refusal>().size(), 1U);
  }
  {
    SCOPED_TRACE("the request was not sent to the server");
    CoreHarness harness;
    harness.core.OnDispatch(kLink, CoreHarness::MakeDispatch(7, false));
    harness.AnswerClaim(ClaimOutcome::kClaimed);
    harness.FromBackend(7, BackendFailure{false, "not_sent"});
    EXPECT_EQ(harness.LastResult(), wire::ClaimState::kNotRun);
    EXPECT_EQ(harness.outputs.All<wire::Refusal>().size(), 1U);
  }
}

TEST(NotRun, IsNotReportedAfterTheCallWasSent) {
  CoreHarness harness;
  harness.core.OnDispatch(kLink, CoreHarness::MakeDispatch(7, false));
  harness.AnswerClaim(ClaimOutcome::kClaimed);
  {
    SCOPED_TRACE("a revocation is not confirmed, and the call goes on");
    harness.core.OnCancel(kLink, CoreHarness::MakeCancel(7, 1));
    EXPECT_EQ(harness.outputs.All<wire::CancelResult>()[0].outcome,
              wire::Outcome::kUnknown);
    EXPECT_EQ(harness.outputs.Cancels(), 0U);
  }
  {
    SCOPED_TRACE(
        "after a server failure the outcome is unknown and the claim stays");
    harness.FromBackend(7, BackendFailure{true, "broken"});
    ASSERT_EQ(harness.outputs.All<wire::ReplyEnd>().size(), 1U);
    EXPECT_EQ(harness.outputs.All<wire::ReplyEnd>()[0].outcome,
              wire::Outcome::kUnknown);
    EXPECT_EQ(harness.LastResult(), 0);
  }
}

TEST(NotRun, RevokedAttemptIsRefusedWhenItArrives) {
  AgentLimits limits;
  limits.revocations = 1;
  CoreHarness harness(limits);
  harness.core.OnCancel(kLink, CoreHarness::MakeCancel(7, 1));
  EXPECT_EQ(harness.outputs.All<wire::CancelResult>()[0].outcome,
            wire::Outcome::kNotRun);
  {
    SCOPED_TRACE("its dispatch is refused");
    harness.core.OnDispatch(kLink, CoreHarness::MakeDispatch(7, true));
    EXPECT_TRUE(harness.outputs.Calls().empty());
    EXPECT_EQ(harness.outputs.All<wire::Refusal>()[0].reason,
              wire::Reason::kRevoked);
  }
  {
    SCOPED_TRACE("without room to record it, no revocation is confirmed");
    harness.core.OnCancel(kLink, CoreHarness::MakeCancel(8, 1));
    EXPECT_EQ(harness.outputs.All<wire::CancelResult>()[1].outcome,
              wire::Outcome::kUnknown);
  }
  {
    SCOPED_TRACE("there is room again after the first one expires");
    harness.clock.Advance(std::chrono::hours(1));
    harness.core.OnCancel(kLink, CoreHarness::MakeCancel(8, 1));
    EXPECT_EQ(harness.outputs.All<wire::CancelResult>()[2].outcome,
              wire::Outcome::kNotRun);
  }
}

TEST(NotRun, DrainingAgentRefusesNewCallsAndFinishesRunningOnes) {
  CoreHarness harness;
  harness.core.OnDispatch(kLink, CoreHarness::MakeDispatch(7, true));
  harness.core.StartLeaving();
  harness.core.OnDispatch(kLink, CoreHarness::MakeDispatch(8, true));
  ASSERT_EQ(harness.outputs.All<wire::Refusal>().size(), 1U);
  EXPECT_EQ(harness.outputs.All<wire::Refusal>()[0].reason,
            wire::Reason::kLeaving);
  EXPECT_FALSE(harness.core.idle());
  harness.FromBackend(7, BackendHead{200, "text/event-stream"});
  harness.FromBackend(7, BackendEnd{});
  EXPECT_EQ(harness.outputs.All<wire::ReplyEnd>().size(), 1U);
  EXPECT_TRUE(harness.core.idle());
}

}  // namespace
}  // namespace peridotgate::agent
