// Streams must respect the receiver's credit, lose no events, and keep their
// order; the memory for unsent events is bounded.
#include <gtest/gtest.h>

#include "../core_harness.h"
#include "stream.h"

namespace peridotgate::agent {
namespace {

constexpr std::int64_t kEvents = 2 * kInitialCredit;

void Produce(CoreHarness& it, std::int64_t n) {
  it.FromBackend(7, BackendHead{200, "text/event-stream"});
  for (std::int64_t i = 0; i < n; ++i) {
    it.FromBackend(7, BackendData{std::to_string(i)});
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
  CoreHarness it;
  it.core.OnDispatch(kLink, CoreHarness::MakeDispatch(7, true));
  Produce(it, kEvents);
  it.FromBackend(7, BackendEnd{});
  {
    SCOPED_TRACE("only the initial credit is used, and no end is sent");
    EXPECT_EQ(it.outputs.All<wire::ReplyChunk>().size(), kInitialCredit);
    EXPECT_TRUE(it.outputs.All<wire::ReplyEnd>().empty());
    EXPECT_FALSE(it.core.idle());
  }
  {
    SCOPED_TRACE("credit from another link or attempt is ignored");
    it.core.OnCredit(kLink + 1, Credit(kEvents, 1));
    it.core.OnCredit(kLink, Credit(kEvents, 2));
    EXPECT_EQ(it.outputs.All<wire::ReplyChunk>().size(), kInitialCredit);
  }
  {
    SCOPED_TRACE("with enough credit, all events come without a gap");
    it.core.OnCredit(kLink, Credit(kEvents, 1));
    const auto chunks = it.outputs.All<wire::ReplyChunk>();
    ASSERT_EQ(chunks.size(), kEvents);
    for (std::int64_t i = 0; i < kEvents; ++i) {
      EXPECT_EQ(chunks[static_cast<std::size_t>(i)].position, i);
      EXPECT_EQ(chunks[static_cast<std::size_t>(i)].sequence, i + 1);
    }
    ASSERT_EQ(it.outputs.All<wire::ReplyEnd>().size(), 1U);
    EXPECT_EQ(it.outputs.All<wire::ReplyEnd>()[0].position, kEvents);
  }
}

TEST(StreamCredit, RetainedBytesAreBounded) {
  AgentLimits limits;
  limits.retained_bytes = 10000;
  CoreHarness it(limits);
  it.core.OnDispatch(kLink, CoreHarness::MakeDispatch(7, true));
  Produce(it, kEvents);
  const std::string large(limits.retained_bytes, 'x');
  it.FromBackend(7, BackendData{large});
  {
    SCOPED_TRACE("the call is cancelled, so that another server can resume it");
    EXPECT_EQ(it.outputs.Cancels(), 1U);
  }
  {
    SCOPED_TRACE(
        "the receiver gets the events before the abort, then an end with "
        "kLimit");
    const auto ends = it.outputs.All<wire::ReplyEnd>();
    ASSERT_EQ(ends.size(), 1U);
    EXPECT_EQ(ends[0].outcome, wire::Outcome::kUnknown);
    EXPECT_EQ(ends[0].reason, wire::Reason::kLimit);
    EXPECT_EQ(ends[0].position, static_cast<std::int64_t>(
                                    it.outputs.All<wire::ReplyChunk>().size()));
  }
}

TEST(StreamCredit, OnlyTheAttachedLinkCanCancel) {
  CoreHarness it;
  it.core.OnDispatch(kLink, CoreHarness::MakeDispatch(7, true));
  Produce(it, 2);
  wire::Attach attach = CoreHarness::MakeAttach(7, 0);
  attach.position = 1;
  it.core.OnAttach(kLink + 1, attach);
  {
    SCOPED_TRACE("the entry that was attached before can't cancel it");
    it.core.OnCancel(kLink, CoreHarness::MakeCancel(7, 1));
    EXPECT_EQ(it.outputs.Cancels(), 0U);
  }
  {
    SCOPED_TRACE("the attached entry can cancel it");
    it.core.OnCancel(kLink + 1, CoreHarness::MakeCancel(7, 0));
    EXPECT_EQ(it.outputs.Cancels(), 1U);
  }
  {
    SCOPED_TRACE("another organisation can't attach to it");
    attach.organisation = "tapetes";
    it.core.OnAttach(kLink + 2, attach);
    EXPECT_EQ(it.outputs.All<wire::Refusal>().back().reason,
              wire::Reason::kNoSuchStream);
  }
}

TEST(StreamCredit, RetryOfAFailedStreamResumesAtItsPosition) {
  CoreHarness it;
  it.core.OnDispatch(kLink, CoreHarness::MakeDispatch(7, true));
  Produce(it, 3);
  it.FromBackend(7, BackendFailure{true, "broken"});
  wire::Dispatch again = CoreHarness::MakeDispatch(7, true);
  again.attempt = 2;
  again.resume_position = 3;
  it.core.OnDispatch(kLink, again);
  ASSERT_EQ(it.outputs.Calls().size(), 2U);
  EXPECT_EQ(it.outputs.Calls()[1].dispatch.resume_position, 3);
}

}  // namespace
}  // namespace peridotgate::agent
