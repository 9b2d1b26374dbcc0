// Streams must respect the receiver's credit, lose no events, and keep their
// order; the memory for unsent events is bounded.
#include <gtest/gtest.h>

#include "../core_harness.h"
#include "stream.h"

namespace peridotgate::agent {
namespace {

constexpr std::int64_t kEvents = 2 * kInitialCredit;

void Produce(CoreHarness& harness, std::int64_t n) {
  harness.FromBackend(7, BackendHead{200, "text/event-stream"});
  for (std::int64_t i = 0; i < n; ++i) {
    harness.FromBackend(7, BackendData{std::to_string(i)});
  }
}

wire::StreamCredit Credit(std::int64_t position, std::int32_t attempt) {
  wire::StreamCredit credit;
  credit.request_id = wire::ToWire({7, 7});
  credit.attempt = attempt;
  credit.position = position;
  return credit;
}

TEST(StreamCredit, StreamStopsAtTheCreditUntilMoreIsGranted) {
  CoreHarness harness;
  harness.core.OnDispatch(kLink, CoreHarness::MakeDispatch(7, true));
  Produce(harness, kEvents);
  harness.FromBackend(7, BackendEnd{});
  {
    SCOPED_TRACE("only the initial credit is used, and no end is sent");
    EXPECT_EQ(harness.outputs.All<wire::ReplyChunk>().size(), kInitialCredit);
    EXPECT_TRUE(harness.outputs.All<wire::ReplyEnd>().empty());
    EXPECT_FALSE(harness.core.idle());
  }
  {
    SCOPED_TRACE("credit from another link or attempt is ignored");
    harness.core.OnCredit(kLink + 1, Credit(kEvents, 1));
    harness.core.OnCredit(kLink, Credit(kEvents, 2));
    EXPECT_EQ(harness.outputs.All<wire::ReplyChunk>().size(), kInitialCredit);
  }
  {
    SCOPED_TRACE("with enough credit, all events come without a gap");
    harness.core.OnCredit(kLink, Credit(kEvents, 1));
    const auto chunks = harness.outputs.All<wire::ReplyChunk>();
    ASSERT_EQ(chunks.size(), kEvents);
    for (std::int64_t i = 0; i < kEvents; ++i) {
      EXPECT_EQ(chunks[static_cast<std::size_t>(i)].position, i);
      EXPECT_EQ(chunks[static_cast<std::size_t>(i)].sequence, i + 1);
    }
    ASSERT_EQ(harness.outputs.All<wire::ReplyEnd>().size(), 1U);
    EXPECT_EQ(harness.outputs.All<wire::ReplyEnd>()[0].position, kEvents);
  }
}

TEST(StreamCredit, RetainedBytesAreBounded) {
  AgentLimits limits;
  limits.retained_bytes = 10000;
  CoreHarness harness(limits);
  harness.core.OnDispatch(kLink, CoreHarness::MakeDispatch(7, true));
  Produce(harness, kEvents);
  const std::string large(limits.retained_bytes, 'x');
  harness.FromBackend(7, BackendData{large});
  {
    SCOPED_TRACE("the call is cancelled, so that another server can resume it");
    EXPECT_EQ(harness.outputs.Cancels(), 1U);
  }
  {
    SCOPED_TRACE(
        "the receiver gets the events before the abort, then an end with "
        "kLimit");
    const auto ends = harness.outputs.All<wire::ReplyEnd>();
    ASSERT_EQ(ends.size(), 1U);
    EXPECT_EQ(ends[0].outcome, wire::Outcome::kUnknown);
    EXPECT_EQ(ends[0].reason, wire::Reason::kLimit);
    EXPECT_EQ(ends[0].position,
              static_cast<std::int64_t>(
                  harness.outputs.All<wire::ReplyChunk>().size()));
  }
}

TEST(StreamCredit, OnlyTheAttachedLinkCanCancel) {
  CoreHarness harness;
  harness.core.OnDispatch(kLink, CoreHarness::MakeDispatch(7, true));
  Produce(harness, 2);
  wire::Attach attach = CoreHarness::MakeAttach(7, 0);
  attach.position = 1;
  harness.core.OnAttach(kLink + 1, attach);
  {
    SCOPED_TRACE("the entry that was attached before can't cancel it");
    harness.core.OnCancel(kLink, CoreHarness::MakeCancel(7, 1));
    EXPECT_EQ(harness.outputs.Cancels(), 0U);
  }
  {
    SCOPED_TRACE("the attached entry can cancel it");
    harness.core.OnCancel(kLink + 1, CoreHarness::MakeCancel(7, 0));
    EXPECT_EQ(harness.outputs.Cancels(), 1U);
  }
  {
    SCOPED_TRACE("another organisation can't attach to it");
    attach.organisation = "tapetes";
    harness.core.OnAttach(kLink + 2, attach);
    EXPECT_EQ(harness.outputs.All<wire::Refusal>().back().reason,
              wire::Reason::kNoSuchStream);
  }
}

TEST(StreamCredit, RetryOfAFailedStreamResumesAtItsPosition) {
  CoreHarness harness;
  harness.core.OnDispatch(kLink, CoreHarness::MakeDispatch(7, true));
  Produce(harness, 3);
  harness.FromBackend(7, BackendFailure{true, "broken"});
  wire::Dispatch again = CoreHarness::MakeDispatch(7, true);
  again.attempt = 2;
  again.resume_position = 3;
  harness.core.OnDispatch(kLink, again);
  ASSERT_EQ(harness.outputs.Calls().size(), 2U);
  EXPECT_EQ(harness.outputs.Calls()[1].dispatch.resume_position, 3);
}

}  // namespace
}  // namespace peridotgate::agent
