// Messages that are duplicated, delayed or reordered must not make a call run
// twice, lose its stream or cancel the wrong attempt.
#include <gtest/gtest.h>

#include "../core_harness.h"

namespace peridotgate::agent {
namespace {

TEST(DuplicateMessages, RefusedCallDoesNotRunOnADuplicate) {
  CoreHarness it;
  const wire::Dispatch dispatch = CoreHarness::MakeDispatch(7, false);
  {
    SCOPED_TRACE("refused at admission");
    it.core.StartLeaving();
    it.core.OnDispatch(kLink, dispatch);
    it.core.StopLeaving();
    it.core.OnDispatch(kLink, dispatch);
    EXPECT_TRUE(it.outputs.platform.empty());
  }
  {
    SCOPED_TRACE("refused as its claim failed");
    const wire::Dispatch other = CoreHarness::MakeDispatch(8, false);
    it.core.OnDispatch(kLink, other);
    it.AnswerClaim(ClaimOutcome::kPlatformDown);
    it.core.OnDispatch(kLink, other);
    EXPECT_EQ(it.outputs.platform.size(), 1U);
  }
  EXPECT_TRUE(it.outputs.Calls().empty());
  for (const wire::Refusal& refusal : it.outputs.All<wire::Refusal>()) {
    EXPECT_EQ(refusal.outcome, wire::Outcome::kNotRun);
  }
}

TEST(DuplicateMessages, NotRunIsNotReportedIfItCannotBeRecorded) {
  AgentLimits limits;
  limits.revocations = 0;
  CoreHarness it(limits);
  it.core.StartLeaving();
  it.core.OnDispatch(kLink, CoreHarness::MakeDispatch(7, false));
  ASSERT_EQ(it.outputs.All<wire::Refusal>().size(), 1U);
  EXPECT_EQ(it.outputs.All<wire::Refusal>()[0].outcome,
            wire::Outcome::kUnknown);
}

TEST(DuplicateMessages, OlderAttemptDoesNotReattachTheStream) {
  CoreHarness it;
  const wire::Dispatch first = CoreHarness::MakeDispatch(7, true);
  it.core.OnDispatch(kLink, first);
  it.FromBackend(7, BackendHead{200, "text/event-stream"});
  {
    SCOPED_TRACE("a duplicate of the same attempt is ignored");
    it.core.OnDispatch(kLink, first);
    EXPECT_EQ(it.outputs.All<wire::ReplyHead>().size(), 1U);
  }
  it.core.OnAttach(kLink, CoreHarness::MakeAttach(7, 2));
  it.core.OnDispatch(kLink, first);
  it.core.OnAttach(kLink, CoreHarness::MakeAttach(7, 2));
  it.FromBackend(7, BackendData{"a"});
  {
    SCOPED_TRACE("further events go to the newest attempt");
    ASSERT_EQ(it.outputs.All<wire::ReplyHead>().size(), 2U);
    EXPECT_EQ(it.outputs.All<wire::ReplyHead>()[1].attempt, 2);
    ASSERT_EQ(it.outputs.All<wire::ReplyChunk>().size(), 1U);
    EXPECT_EQ(it.outputs.All<wire::ReplyChunk>()[0].attempt, 2);
  }
}

TEST(DuplicateMessages, LateCancelOfAnOlderAttemptKeepsTheNewerOne) {
  AgentLimits limits;
  limits.slots = 1;
  CoreHarness it(limits);
  it.core.OnDispatch(kLink, CoreHarness::MakeDispatch(6, true));
  wire::Dispatch waiting = CoreHarness::MakeDispatch(7, true);
  it.core.OnDispatch(kLink, waiting);
  waiting.attempt = 2;
  it.core.OnDispatch(kLink, waiting);
  it.core.OnCancel(kLink, CoreHarness::MakeCancel(7, 1));
  EXPECT_EQ(it.outputs.All<wire::CancelResult>()[0].outcome,
            wire::Outcome::kUnknown);
  it.FromBackend(6, BackendEnd{});
  EXPECT_EQ(it.outputs.Calls().size(), 2U);
}

TEST(DuplicateMessages, CancelDuringTheClaimPreventsTheRun) {
  CoreHarness it;
  wire::Dispatch dispatch = CoreHarness::MakeDispatch(7, false);
  it.core.OnDispatch(kLink, dispatch);
  it.core.OnCancel(kLink, CoreHarness::MakeCancel(7, 1));
  ASSERT_EQ(it.outputs.All<wire::CancelResult>().size(), 1U);
  EXPECT_EQ(it.outputs.All<wire::CancelResult>()[0].outcome,
            wire::Outcome::kNotRun);
  {
    SCOPED_TRACE("the claim is released when its result arrives");
    it.AnswerClaim(ClaimOutcome::kClaimed);
    EXPECT_TRUE(it.outputs.Calls().empty());
    EXPECT_EQ(it.LastResult(), wire::ClaimState::kNotRun);
    EXPECT_TRUE(it.core.idle());
  }
  {
    SCOPED_TRACE("a duplicate of the attempt is refused, a new one may run");
    it.core.OnDispatch(kLink, dispatch);
    EXPECT_EQ(it.outputs.All<wire::Refusal>().back().reason,
              wire::Reason::kRevoked);
    dispatch.attempt = 2;
    it.core.OnDispatch(kLink, dispatch);
    it.AnswerClaim(ClaimOutcome::kClaimed);
    EXPECT_EQ(it.outputs.Calls().size(), 1U);
  }
}

TEST(DuplicateMessages, NewAttemptDuringTheClaimOfARevokedOneRuns) {
  CoreHarness it;
  wire::Dispatch dispatch = CoreHarness::MakeDispatch(7, false);
  it.core.OnDispatch(kLink, dispatch);
  it.core.OnCancel(kLink, CoreHarness::MakeCancel(7, 1));
  dispatch.attempt = 2;
  it.core.OnDispatch(kLink, dispatch);
  it.AnswerClaim(ClaimOutcome::kClaimed);
  EXPECT_EQ(it.outputs.Calls().size(), 1U);
}

}  // namespace
}  // namespace peridotgate::agent
