// Messages that are duplicated, delayed or reordered must not make a call run
// twice, lose its stream or cancel the wrong attempt.
#include <gtest/gtest.h>

#include "../core_harness.h"

namespace peridotgate::agent {
namespace {

TEST(DuplicateMessages, RefusedCallDoesNotRunOnADuplicate) {
  CoreHarness harness;
  const wire::Dispatch dispatch = CoreHarness::MakeDispatch(7, false);
  {
    SCOPED_TRACE("refused at admission");
    harness.core.StartLeaving();
    harness.core.OnDispatch(kLink, dispatch);
    harness.core.StopLeaving();
    harness.core.OnDispatch(kLink, dispatch);
    EXPECT_TRUE(harness.outputs.platform.empty());
  }
  {
    SCOPED_TRACE("refused as its claim failed");
    const wire::Dispatch other = CoreHarness::MakeDispatch(8, false);
    harness.core.OnDispatch(kLink, other);
    harness.AnswerClaim(ClaimOutcome::kPlatformDown);
    harness.core.OnDispatch(kLink, other);
    EXPECT_EQ(harness.outputs.platform.size(), 1U);
  }
  EXPECT_TRUE(harness.outputs.Calls().empty());
  for (const wire::Refusal& refusal : harness.outputs.All<wire::Refusal>()) {
    EXPECT_EQ(refusal.outcome, wire::Outcome::kNotRun);
  }
}

TEST(DuplicateMessages, NotRunIsNotReportedIfItCannotBeRecorded) {
  AgentLimits limits;
  limits.revocations = 0;
  CoreHarness harness(limits);
  harness.core.StartLeaving();
  harness.core.OnDispatch(kLink, CoreHarness::MakeDispatch(7, false));
  ASSERT_EQ(harness.outputs.All<wire::Refusal>().size(), 1U);
  EXPECT_EQ(harness.outputs.All<wire::Refusal>()[0].outcome,
            wire::Outcome::kUnknown);
}

TEST(DuplicateMessages, OlderAttemptDoesNotReattachTheStream) {
  CoreHarness harness;
  const wire::Dispatch first = CoreHarness::MakeDispatch(7, true);
  harness.core.OnDispatch(kLink, first);
  harness.FromBackend(7, BackendHead{200, "text/event-stream"});
  {
    SCOPED_TRACE("a duplicate of the same attempt is ignored");
    harness.core.OnDispatch(kLink, first);
    EXPECT_EQ(harness.outputs.All<wire::ReplyHead>().size(), 1U);
  }
  harness.core.OnAttach(kLink, CoreHarness::MakeAttach(7, 2));
  harness.core.OnDispatch(kLink, first);
  harness.core.OnAttach(kLink, CoreHarness::MakeAttach(7, 2));
  harness.FromBackend(7, BackendData{"a"});
  {
    SCOPED_TRACE("further events go to the newest attempt");
    ASSERT_EQ(harness.outputs.All<wire::ReplyHead>().size(), 2U);
    EXPECT_EQ(harness.outputs.All<wire::ReplyHead>()[1].attempt, 2);
    ASSERT_EQ(harness.outputs.All<wire::ReplyChunk>().size(), 1U);
    EXPECT_EQ(harness.outputs.All<wire::ReplyChunk>()[0].attempt, 2);
  }
}

TEST(DuplicateMessages, LateCancelOfAnOlderAttemptKeepsTheNewerOne) {
  AgentLimits limits;
  limits.slots = 1;
  CoreHarness harness(limits);
  harness.core.OnDispatch(kLink, CoreHarness::MakeDispatch(6, true));
  wire::Dispatch waiting = CoreHarness::MakeDispatch(7, true);
  harness.core.OnDispatch(kLink, waiting);
  waiting.attempt = 2;
  harness.core.OnDispatch(kLink, waiting);
  harness.core.OnCancel(kLink, CoreHarness::MakeCancel(7, 1));
  EXPECT_EQ(harness.outputs.All<wire::CancelResult>()[0].outcome,
            wire::Outcome::kUnknown);
  harness.FromBackend(6, BackendEnd{});
  EXPECT_EQ(harness.outputs.Calls().size(), 2U);
}

TEST(DuplicateMessages, CancelDuringTheClaimPreventsTheRun) {
  CoreHarness harness;
  wire::Dispatch dispatch = CoreHarness::MakeDispatch(7, false);
  harness.core.OnDispatch(kLink, dispatch);
  harness.core.OnCancel(kLink, CoreHarness::MakeCancel(7, 1));
  ASSERT_EQ(harness.outputs.All<wire::CancelResult>().size(), 1U);
  EXPECT_EQ(harness.outputs.All<wire::CancelResult>()[0].outcome,
            wire::Outcome::kNotRun);
  {
    SCOPED_TRACE("the claim is released when its result arrives");
    harness.AnswerClaim(ClaimOutcome::kClaimed);
    EXPECT_TRUE(harness.outputs.Calls().empty());
    EXPECT_EQ(harness.LastResult(), wire::ClaimState::kNotRun);
    EXPECT_TRUE(harness.core.idle());
  }
  {
    SCOPED_TRACE("a duplicate of the attempt is refused, a new one may run");
    harness.core.OnDispatch(kLink, dispatch);
    EXPECT_EQ(harness.outputs.All<wire::Refusal>().back().reason,
              wire::Reason::kRevoked);
    dispatch.attempt = 2;
    harness.core.OnDispatch(kLink, dispatch);
    harness.AnswerClaim(ClaimOutcome::kClaimed);
    EXPECT_EQ(harness.outputs.Calls().size(), 1U);
  }
}

TEST(DuplicateMessages, NewAttemptDuringTheClaimOfARevokedOneRuns) {
  CoreHarness harness;
  wire::Dispatch dispatch = CoreHarness::MakeDispatch(7, false);
  harness.core.OnDispatch(kLink, dispatch);
  harness.core.OnCancel(kLink, CoreHarness::MakeCancel(7, 1));
  dispatch.attempt = 2;
  harness.core.OnDispatch(kLink, dispatch);
  harness.AnswerClaim(ClaimOutcome::kClaimed);
  EXPECT_EQ(harness.outputs.Calls().size(), 1U);
}

}  // namespace
}  // namespace peridotgate::agent
