// If the first server of a stream stays silent, a second one gives the complete
// answer and the silent attempt is cancelled.
#include <gtest/gtest.h>

#include "../router_harness.h"

namespace peridotgate::entry {
namespace {

const Id128 kRequest{9, 9};

// Answers a dispatch with a head, two events and an end.
void Answer(wire::Link& link, const wire::Dispatch& dispatch) {
  wire::ReplyHead head;
  head.request_id = dispatch.request_id;
  head.attempt = dispatch.attempt;
  head.status = 200;
  head.content_type = "text/event-stream";
  link.Send(head);
  for (std::int64_t i = 0; i < 2; ++i) {
    wire::ReplyChunk chunk;
    chunk.request_id = dispatch.request_id;
    chunk.attempt = dispatch.attempt;
    chunk.sequence = i + 1;
    chunk.position = i;
    chunk.data = std::to_string(i);
    link.Send(chunk);
  }
  wire::ReplyEnd end;
  end.request_id = dispatch.request_id;
  end.attempt = dispatch.attempt;
  end.sequence = 3;
  end.position = 2;
  end.outcome = wire::Outcome::kRan;
  link.Send(end);
}

RouteCall MakeCall(bool second_attempt) {
  RouteCall call;
  call.request_id = kRequest;
  call.dispatch.organisation = "tapetes";
  call.dispatch.target = "service:desk";
  call.dispatch.repeatable = true;
  call.dispatch.streamed = true;
  call.dispatch.wait_limit_us = 5000000;
  call.dispatch.output_tokens = 100;
  call.second_attempt = second_attempt;
  return call;
}

// Two agents that leave the first dispatch unanswered and answer the second.
struct TwoAgents {
  TwoAgents() : one(Make()), two(Make()) {
    harness.SetAgents({one.endpoint(), two.endpoint()});
  }

  FakeAgent Make() {
    return FakeAgent(harness.duty.context(), harness.metrics,
                     FreeEndpoint(harness.duty.context()),
                     [this](wire::Link& link, const wire::Message& message) {
                       OnMessage(link, message);
                     });
  }

  void OnMessage(wire::Link& link, const wire::Message& message) {
    if (const auto* cancel = std::get_if<wire::Cancel>(&message)) {
      cancelled.push_back(cancel->attempt);
    }
    const auto* dispatch = std::get_if<wire::Dispatch>(&message);
    if (dispatch == nullptr) {
      return;
    }
    dispatched.push_back(*dispatch);
    if (dispatched.size() == 2) {
      Answer(link, *dispatch);
    }
  }

  RouterHarness harness;
  std::vector<wire::Dispatch> dispatched;
  std::vector<std::int32_t> cancelled;
  FakeAgent one;
  FakeAgent two;
};

TEST(SecondAttempt, ReplacesASilentFirstAttempt) {
  TwoAgents agents;
  agents.harness.router.OnCommand(MakeCall(true));
  ASSERT_TRUE(agents.harness.RunUntil(
      [&] { return agents.harness.Ended() && !agents.cancelled.empty(); }));
  {
    SCOPED_TRACE("the caller gets one head, each event once, and the end");
    ASSERT_EQ(agents.harness.received.size(), 4U);
    EXPECT_TRUE(
        std::holds_alternative<CallHead>(agents.harness.received[0].payload));
    EXPECT_EQ(std::get<CallData>(agents.harness.received[1].payload).bytes,
              "0");
    EXPECT_EQ(std::get<CallData>(agents.harness.received[2].payload).bytes,
              "1");
    EXPECT_EQ(std::get<CallEnd>(agents.harness.received[3].payload).outcome,
              wire::Outcome::kRan);
  }
  {
    SCOPED_TRACE("the second attempt is marked as one; the first is cancelled");
    ASSERT_EQ(agents.dispatched.size(), 2U);
    EXPECT_FALSE(agents.dispatched[0].second_attempt);
    EXPECT_TRUE(agents.dispatched[1].second_attempt);
    EXPECT_EQ(agents.cancelled[0], agents.dispatched[0].attempt);
  }
}

TEST(SecondAttempt, IsNotStartedIfTheKindForbidsIt) {
  TwoAgents agents;
  agents.harness.router.OnCommand(MakeCall(false));
  ASSERT_TRUE(
      agents.harness.RunUntil([&] { return !agents.dispatched.empty(); }));
  const auto later = agents.harness.clock.Now() + std::chrono::seconds(1);
  agents.harness.RunUntil([&] { return agents.harness.clock.Now() > later; });
  EXPECT_EQ(agents.dispatched.size(), 1U);
}

}  // namespace
}  // namespace peridotgate::entry
