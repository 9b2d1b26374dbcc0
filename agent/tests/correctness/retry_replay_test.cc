// A retry of a non-repeatable call must get the first response and not run
// again.
#include <gtest/gtest.h>

#include "../core_harness.h"

namespace peridotgate::agent {
namespace {

void RunOrder(CoreHarness& it, const std::string& response) {
  it.core.OnDispatch(kLink, CoreHarness::MakeDispatch(7, false));
  it.AnswerClaim(ClaimOutcome::kClaimed);
  it.FromBackend(7, BackendHead{201, "application/json"});
  it.FromBackend(7, BackendData{response});
  it.FromBackend(7, BackendEnd{});
}

TEST(RetryReplay, IsServedFromRecentReplies) {
  CoreHarness it;
  RunOrder(it, "booked");
  EXPECT_EQ(it.LastResult(), wire::ClaimState::kDone);
  const std::size_t to_platform = it.outputs.platform.size();
  {
    SCOPED_TRACE("same body: the same response, without using the table");
    it.core.OnDispatch(kLink, CoreHarness::MakeDispatch(8, false));
    EXPECT_EQ(it.outputs.platform.size(), to_platform);
    const auto heads = it.outputs.All<wire::ReplyHead>();
    ASSERT_EQ(heads.size(), 2U);
    EXPECT_TRUE(heads[1].replayed);
    EXPECT_EQ(heads[1].status, 201);
    EXPECT_EQ(it.outputs.All<wire::ReplyChunk>()[1].data, "booked");
  }
  {
    SCOPED_TRACE("different body: refused");
    wire::Dispatch other = CoreHarness::MakeDispatch(9, false);
    other.body = "{\"lot\":2}";
    it.core.OnDispatch(kLink, other);
    EXPECT_EQ(it.outputs.All<wire::Refusal>()[0].reason,
              wire::Reason::kKeyReused);
  }
  EXPECT_EQ(it.outputs.Calls().size(), 1U);
}

TEST(RetryReplay, ReportsTooLargeResponseAsRun) {
  AgentLimits limits;
  limits.kept_object_bytes = 4;
  CoreHarness it(limits);
  RunOrder(it, "booked");
  it.core.OnDispatch(kLink, CoreHarness::MakeDispatch(8, false));
  const auto ends = it.outputs.All<wire::ReplyEnd>();
  ASSERT_EQ(ends.size(), 2U);
  EXPECT_EQ(ends[1].outcome, wire::Outcome::kRan);
  EXPECT_EQ(ends[1].reason, wire::Reason::kLimit);
  EXPECT_EQ(it.outputs.Calls().size(), 1U);
}

TEST(RetryReplay, LargeResponseIsStoredWholeAndReplayedInPieces) {
  AgentLimits limits;
  limits.recent_reply_bytes = 1 << 20;
  CoreHarness it(limits);
  const std::string large(limits.recent_reply_bytes / 2, 'a');
  RunOrder(it, large);
  const auto result = std::get<ClaimResult>(it.outputs.platform.back());
  EXPECT_EQ(result.record.body, large);
  {
    SCOPED_TRACE("it isn't in the recent replies, where it would evict others");
    it.core.OnDispatch(kLink, CoreHarness::MakeDispatch(8, false));
    it.AnswerClaim(ClaimOutcome::kReplay, result.record);
  }
  const auto chunks = it.outputs.All<wire::ReplyChunk>();
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
    CoreHarness it;
    it.core.OnDispatch(kLink, missed_end(true));
    it.FromBackend(7, BackendHead{200, "application/json"});
    it.FromBackend(7, BackendData{"found"});
    it.FromBackend(7, BackendEnd{});
    EXPECT_TRUE(it.outputs.All<wire::ReplyChunk>().empty());
    ASSERT_EQ(it.outputs.All<wire::ReplyEnd>().size(), 1U);
    EXPECT_EQ(it.outputs.All<wire::ReplyEnd>()[0].position, 1);
  }
  {
    SCOPED_TRACE("a stored response of three pieces");
    CoreHarness it;
    wire::ClaimRecord record;
    record.status = 200;
    record.content_type = "application/json";
    record.body = std::string(600000, 'a');
    it.core.OnDispatch(kLink, missed_end(false));
    record.body_digest =
        std::get<ClaimRequest>(it.outputs.platform.back()).body_digest;
    it.AnswerClaim(ClaimOutcome::kReplay, record);
    const auto chunks = it.outputs.All<wire::ReplyChunk>();
    ASSERT_EQ(chunks.size(), 2U);
    EXPECT_EQ(chunks[0].position, 1);
    EXPECT_EQ(it.outputs.All<wire::ReplyEnd>()[0].position, 3);
  }
}

TEST(RetryReplay, StreamIsReplayedEventByEvent) {
  CoreHarness it;
  wire::Dispatch dispatch = CoreHarness::MakeDispatch(7, false);
  dispatch.streamed = true;
  it.core.OnDispatch(kLink, dispatch);
  it.AnswerClaim(ClaimOutcome::kClaimed);
  it.FromBackend(7, BackendHead{200, "text/event-stream"});
  it.FromBackend(7, BackendData{"one"});
  it.FromBackend(7, BackendData{"two"});
  it.FromBackend(7, BackendEnd{});
  dispatch.request_id = wire::ToWire({8, 8});
  dispatch.resume_position = 1;
  it.core.OnDispatch(kLink, dispatch);
  const auto chunks = it.outputs.All<wire::ReplyChunk>();
  ASSERT_EQ(chunks.size(), 3U);
  EXPECT_EQ(chunks[2].data, "two");
  EXPECT_EQ(chunks[2].position, 1);
}

}  // namespace
}  // namespace peridotgate::agent
