// The outcome reported to a caller when the link to an agent can't be opened or
// is lost, and what happens to its stream.
#include <gtest/gtest.h>
#include <boost/asio/read.hpp>

#include "../router_harness.h"

namespace peridotgate::entry {
namespace {

const Id128 kRequest{7, 7};

wire::ReplyChunk MakeChunk(const wire::Dispatch& dispatch,
                           std::int64_t sequence,
                           std::int64_t position) {
  wire::ReplyChunk chunk;
  chunk.request_id = dispatch.request_id;
  chunk.attempt = dispatch.attempt;
  chunk.sequence = sequence;
  chunk.position = position;
  chunk.data = std::to_string(position);
  return chunk;
}

wire::ReplyHead MakeHead(const wire::Dispatch& dispatch) {
  wire::ReplyHead head;
  head.request_id = dispatch.request_id;
  head.attempt = dispatch.attempt;
  head.status = 200;
  head.content_type = "text/event-stream";
  head.position = dispatch.resume_position;
  return head;
}

TEST(LostLink, ReportsNotRunOnlyIfNothingWasSent) {
  {
    SCOPED_TRACE("no agent listens: nothing was sent");
    RouterHarness harness;
    harness.SetAgents({FreeEndpoint(harness.duty.context())});
    harness.Route(kRequest, false);
    ASSERT_TRUE(harness.RunUntil([&] { return harness.Ended(); }));
    EXPECT_EQ(std::get<CallRefused>(harness.received.back().payload).outcome,
              wire::Outcome::kNotRun);
  }
  {
    SCOPED_TRACE("the link broke after the call was sent: unknown");
    RouterHarness harness;
    int dispatches = 0;
    FakeAgent agent(harness.duty.context(), harness.metrics,
                    FreeEndpoint(harness.duty.context()),
                    [&](wire::Link& link, const wire::Message& /*message*/) {
                      ++dispatches;
                      link.Close();
                    });
    ASSERT_TRUE(agent.listening());
    harness.SetAgents({agent.endpoint()});
    harness.Route(kRequest, false);
    ASSERT_TRUE(harness.RunUntil([&] { return harness.Ended(); }));
    EXPECT_GT(dispatches, 0);
    EXPECT_EQ(std::get<CallRefused>(harness.received.back().payload).outcome,
              wire::Outcome::kUnknown);
  }
}

TEST(LostLink, RefusalAfterLostAttemptIsNotReportedAsNotRun) {
  RouterHarness harness;
  bool refuse = false;
  auto answer = [&](wire::Link& link, const wire::Message& message) {
    const auto* dispatch = std::get_if<wire::Dispatch>(&message);
    if (dispatch == nullptr || !refuse) {
      refuse = true;
      link.Close();
      return;
    }
    wire::Refusal refusal;
    refusal.request_id = dispatch->request_id;
    refusal.attempt = dispatch->attempt;
    refusal.outcome = wire::Outcome::kNotRun;
    refusal.reason = wire::Reason::kPlatformDown;
    link.Send(refusal);
  };
  FakeAgent first(harness.duty.context(), harness.metrics,
                  FreeEndpoint(harness.duty.context()), answer);
  FakeAgent second(harness.duty.context(), harness.metrics,
                   FreeEndpoint(harness.duty.context()), answer);
  harness.SetAgents({first.endpoint(), second.endpoint()});
  harness.Route(kRequest, false);
  ASSERT_TRUE(harness.RunUntil([&] { return harness.Ended(); }));
  const auto& refused = std::get<CallRefused>(harness.received.back().payload);
  EXPECT_EQ(refused.reason, wire::Reason::kPlatformDown);
  EXPECT_EQ(refused.outcome, wire::Outcome::kUnknown);
}

TEST(LostLink, StreamResumesOnAnotherServerAtItsPosition) {
  RouterHarness harness;
  std::vector<std::int64_t> positions;
  auto answer = [&](wire::Link& link, const wire::Message& message) {
    const auto* dispatch = std::get_if<wire::Dispatch>(&message);
    if (dispatch == nullptr) {
      return;
    }
    const std::int64_t from = dispatch->resume_position;
    positions.push_back(from);
    wire::ReplyEnd end;
    end.request_id = dispatch->request_id;
    end.attempt = dispatch->attempt;
    end.sequence = 3;
    end.position = from + 2;
    end.outcome = from == 0 ? wire::Outcome::kUnknown : wire::Outcome::kRan;
    link.Send(MakeHead(*dispatch));
    link.Send(MakeChunk(*dispatch, 1, from));
    link.Send(MakeChunk(*dispatch, 2, from + 1));
    link.Send(end);
  };
  FakeAgent first(harness.duty.context(), harness.metrics,
                  FreeEndpoint(harness.duty.context()), answer);
  FakeAgent second(harness.duty.context(), harness.metrics,
                   FreeEndpoint(harness.duty.context()), answer);
  harness.SetAgents({first.endpoint(), second.endpoint()});
  harness.Route(kRequest, true);
  ASSERT_TRUE(harness.RunUntil([&] { return harness.Ended(); }));
  {
    SCOPED_TRACE("the second attempt starts after the events already relayed");
    EXPECT_EQ(positions, (std::vector<std::int64_t>{0, 2}));
  }
  {
    SCOPED_TRACE("the caller gets one head and each event once, in order");
    ASSERT_EQ(harness.received.size(), 6U);
    EXPECT_TRUE(std::holds_alternative<CallHead>(harness.received[0].payload));
    for (std::size_t i = 0; i < 4; ++i) {
      EXPECT_EQ(std::get<CallData>(harness.received[i + 1].payload).position,
                static_cast<std::int64_t>(i));
    }
    EXPECT_EQ(std::get<CallEnd>(harness.received[5].payload).outcome,
              wire::Outcome::kRan);
  }
}

TEST(LostLink, RepeatableCallIsCancelledWhenCallerDisconnects) {
  RouterHarness harness;
  int dispatches = 0;
  int cancels = 0;
  FakeAgent agent(
      harness.duty.context(), harness.metrics,
      FreeEndpoint(harness.duty.context()),
      [&](wire::Link& /*link*/, const wire::Message& message) {
        dispatches += std::holds_alternative<wire::Dispatch>(message) ? 1 : 0;
        cancels += std::holds_alternative<wire::Cancel>(message) ? 1 : 0;
      });
  harness.SetAgents({agent.endpoint()});
  {
    SCOPED_TRACE("a repeatable call is cancelled");
    harness.Route(kRequest, true);
    ASSERT_TRUE(harness.RunUntil([&] { return dispatches == 1; }));
    harness.router.OnCommand(DropCall{kRequest});
    EXPECT_TRUE(harness.RunUntil([&] { return cancels == 1; }));
  }
  {
    SCOPED_TRACE("a call that is not repeatable continues");
    const Id128 booking{8, 8};
    harness.Route(booking, false);
    ASSERT_TRUE(harness.RunUntil([&] { return dispatches == 2; }));
    harness.router.OnCommand(DropCall{booking});
    const Id128 after{9, 9};
    harness.Route(after, true);
    ASSERT_TRUE(harness.RunUntil([&] { return dispatches == 3; }));
    EXPECT_EQ(cancels, 1);
  }
}

TEST(LostLink, DestroyedRouterClosesItsLinks) {
  using asio::ip::tcp;
  asio::io_context context;
  const auto loopback = asio::ip::make_address("127.0.0.1");
  tcp::acceptor acceptor(context, tcp::endpoint(loopback, 0));
  acceptor.non_blocking(true);
  tcp::socket agent(context);
  boost::system::error_code ec;
  {
    RouterHarness harness;
    harness.SetAgents({{"127.0.0.1", acceptor.local_endpoint().port()}});
    harness.Route(kRequest, true);
    ASSERT_TRUE(harness.RunUntil([&] {
      if (!agent.is_open()) {
        acceptor.accept(agent, ec);
      }
      return agent.is_open();
    }));
  }
  std::string received;
  agent.non_blocking(true);
  asio::read(agent, asio::dynamic_buffer(received), ec);
  EXPECT_EQ(ec, asio::error::eof);
}

}  // namespace
}  // namespace peridotgate::entry
