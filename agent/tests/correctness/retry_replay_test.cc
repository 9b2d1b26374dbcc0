// A retry of a non-repeatable call must get the first response and not run
// again.
#include <gtest/gtest.h>

#include "../core_harness.h"

namespace peridotgate::agent {
namespace {

void RunOrder(CoreHarness& harness, const std::string& response) {
  harness.core.OnDispatch(kLink, CoreHarness::MakeDispatch(7, false));
  harness.AnswerClaim(ClaimOutcome::kClaimed);
  harness.FromBackend(7, BackendHead{201, "application/json"});
  harness.FromBackend(7, BackendData{response});
  harness.FromBackend(7, BackendEnd{});
}

TEST(RetryReplay, IsServedFromRecentReplies) {
  CoreHarness harness;
  RunOrder(harness, "booked");
  EXPECT_EQ(harness.LastResult(), wire::ClaimState::kDone);
  const std::size_t to_platform = harness.outputs.platform.size();
  {
    SCOPED_TRACE("same body: the same response, without using the table");
    harness.core.OnDispatch(kLink, CoreHarness::MakeDispatch(8, false));
    EXPECT_EQ(harness.outputs.platform.size(), to_platform);
    const auto heads = harness.outputs.All<wire::ReplyHead>();
    ASSERT_EQ(heads.size(), 2U);
    EXPECT_TRUE(heads[1].replayed);
    EXPECT_EQ(heads[1].status, 201);
    EXPECT_EQ(harness.outputs.All<wire::ReplyChunk>()[1].data, "booked");
  }
  {
    SCOPED_TRACE("different body: refused");
    wire::Dispatch other = CoreHarness::MakeDispatch(9, false);
    other.body = "{\"lot\":2}";
    harness.core.OnDispatch(kLink, other);
    EXPECT_EQ(harness.outputs.All<wire::Refusal>()[0].reason,
              wire::Reason::kKeyReused);
  }
  EXPECT_EQ(harness.outputs.Calls().size(), 1U);
}

TEST(RetryReplay, ReportsTooLargeResponseAsRun) {
  AgentLimits limits;
  limits.kept_object_bytes = 4;
  CoreHarness harness(limits);
  RunOrder(harness, "booked");
  harness.core.OnDispatch(kLink, CoreHarness::MakeDispatch(8, false));
  const auto ends = harness.outputs.All<wire::ReplyEnd>();
  ASSERT_EQ(ends.size(), 2U);
  EXPECT_EQ(ends[1].outcome, wire::Outcome::kRan);
  EXPECT_EQ(ends[1].reason, wire::Reason::kLimit);
  EXPECT_EQ(harness.outputs.Calls().size(), 1U);
}

TEST(RetryReplay, LargeResponseIsStoredWholeAndReplayedInPieces) {
  AgentLimits limits;
  limits.recent_reply_bytes = 1 << 20;
  CoreHarness harness(limits);
  const std::string large(limits.recent_reply_bytes / 2, 'a');
  RunOrder(harness, large);
  const auto result = std::get<ClaimResult>(harness.outputs.platform.back());
  EXPECT_EQ(result.record.body, large);
  {
    SCOPED_TRACE("it isn't in the recent replies, where it would evict others");
    harness.core.OnDispatch(kLink, CoreHarness::MakeDispatch(8, false));
    harness.AnswerClaim(ClaimOutcome::kReplay, result.record);
  }
  const auto chunks = harness.outputs.All<wire::ReplyChunk>();
  ASSERT_EQ(chunks.size(), 4U);
  EXPECT_EQ(chunks[0].data, chunks[2].data);
  EXPECT_EQ(chunks[2].data + chunks[3].data, large);
}

TEST(RetryReplay, SendsNoDuplicateDataToACallerThatMissedOnlyTheEnd) {
  const auto missed_end = [](bool repeatable) {
    wire::Dispatch dispatch = CoreHarness::MakeDispatch(7, repeatable);
    dispatch.streamed = false;
    dispatch.resume_position = 1;
    return dispatch;
  };
  {
    SCOPED_TRACE("a repeatable call that runs again on another server");
    CoreHarness harness;
    harness.core.OnDispatch(kLink, missed_end(true));
    harness.FromBackend(7, BackendHead{200, "application/json"});
    harness.FromBackend(7, BackendData{"found"});
    harness.FromBackend(7, BackendEnd{});
    EXPECT_TRUE(harness.outputs.All<wire::ReplyChunk>().empty());
    ASSERT_EQ(harness.outputs.All<wire::ReplyEnd>().size(), 1U);
    EXPECT_EQ(harness.outputs.All<wire::ReplyEnd>()[0].position, 1);
  }
  {
    SCOPED_TRACE("a stored response of three pieces");
    CoreHarness harness;
    wire::ClaimRecord record;
    record.status = 200;
    record.content_type = "application/json";
    record.body = std::string(600000, 'a');
    harness.core.OnDispatch(kLink, missed_end(false));
    record.body_digest =
        std::get<ClaimRequest>(harness.outputs.platform.back()).body_digest;
    harness.AnswerClaim(ClaimOutcome::kReplay, record);
    const auto chunks = harness.outputs.All<wire::ReplyChunk>();
    ASSERT_EQ(chunks.size(), 2U);
    EXPECT_EQ(chunks[0].position, 1);
    EXPECT_EQ(harness.outputs.All<wire::ReplyEnd>()[0].position, 3);
  }
}

TEST(RetryReplay, StreamIsReplayedEventByEvent) {
  CoreHarness harness;
  wire::Dispatch dispatch = CoreHarness::MakeDispatch(7, false);
  dispatch.streamed = true;
  harness.core.OnDispatch(kLink, dispatch);
  harness.AnswerClaim(ClaimOutcome::kClaimed);
  harness.FromBackend(7, BackendHead{200, "text/event-stream"});
  harness.FromBackend(7, BackendData{"one"});
  harness.FromBackend(7, BackendData{"two"});
  harness.FromBackend(7, BackendEnd{});
  dispatch.request_id = wire::ToWire({8, 8});
  dispatch.resume_position = 1;
  harness.core.OnDispatch(kLink, dispatch);
  const auto chunks = harness.outputs.All<wire::ReplyChunk>();
  ASSERT_EQ(chunks.size(), 3U);
  EXPECT_EQ(chunks[2].data, "two");
  EXPECT_EQ(chunks[2].position, 1);
}

}  // namespace
}  // namespace peridotgate::agent
