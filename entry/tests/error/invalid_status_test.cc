// Status codes that an agent reports: those that HTTP does not define reach no
// caller, and all others reach it unchanged.
#include <limits>
#include <optional>
#include <string>

#include <gtest/gtest.h>
#include <boost/asio/co_spawn.hpp>

#include "../router_harness.h"
#include "call_answer.h"

namespace peridotgate::entry {
namespace {

const Id128 kRequest{7, 7};

// Answers each call with a head with `status`, one chunk and the end.
class AnsweringAgent {
 public:
  AnsweringAgent(RouterHarness& harness, std::int32_t status)
      : agent_(harness.duty.context(),
               harness.metrics,
               FreeEndpoint(harness.duty.context()),
               [this, status](wire::Link& link, const wire::Message& message) {
                 const auto* call = std::get_if<wire::Dispatch>(&message);
                 if (call != nullptr) {
                   ++calls_;
                   Answer(link, *call, status);
                 }
               }) {}

  const runtime::Endpoint& endpoint() const { return agent_.endpoint(); }
  int calls() const { return calls_; }

 private:
  static void Answer(wire::Link& link,
                     const wire::Dispatch& call,
                     std::int32_t status) {
    wire::ReplyHead head;
    head.request_id = call.request_id;
    head.attempt = call.attempt;
    head.status = status;
    head.content_type = "text/plain";
    link.Send(head);
    wire::ReplyChunk chunk;
    chunk.request_id = call.request_id;
    chunk.attempt = call.attempt;
    chunk.sequence = 1;
    chunk.data = "body";
    link.Send(chunk);
    wire::ReplyEnd end;
    end.request_id = call.request_id;
    end.attempt = call.attempt;
    end.sequence = 2;
    end.position = 1;
    end.outcome = wire::Outcome::kRan;
    link.Send(end);
  }

  FakeAgent agent_;
  int calls_ = 0;
};

// Records the response to a caller.
class RecordingExchange : public runtime::HttpExchange {
 public:
  asio::awaitable<bool> Send(runtime::HttpResponse response) override {
    sent = std::move(response);
    co_return true;
  }
  asio::awaitable<bool> BeginStream(runtime::HttpResponse response) override {
    return Send(std::move(response));
  }
  asio::awaitable<bool> Write(std::string_view /*data*/) override {
    co_return true;
  }
  asio::awaitable<bool> EndStream() override { co_return true; }
  void Abort() override {}

  std::optional<runtime::HttpResponse> sent;
};

// The response to a caller whose call an agent answered with `status`.
std::optional<runtime::HttpResponse> ResponseFor(std::int32_t status,
                                                 bool streamed) {
  runtime::Duty duty("callers");
  runtime::Metrics metrics;
  runtime::Port<RouterCommand> commands(duty, 8, [](RouterCommand&&) {});
  const ProblemSender problems(metrics);
  CallInbox inbox(duty.context());
  RecordingExchange exchange;
  CallAnswer answer({duty, commands, problems}, kRequest, inbox, exchange);
  const std::string type = streamed ? "text/event-stream" : "text/plain";
  std::optional<CallEvent> head =
      CallEvent{kRequest, CallHead{status, type, {}, false}};
  inbox.Put({kRequest, CallData{0, "body"}});
  inbox.Put({kRequest, CallEnd{}});
  asio::co_spawn(
      duty.context(), answer.Send(head, streamed),
      [&](const std::exception_ptr& /*none*/) { duty.context().stop(); });
  duty.context().run_for(std::chrono::seconds(5));
  return exchange.sent;
}

TEST(InvalidStatus, OfAnAgentReachesNoCaller) {
  constexpr std::int32_t kMin = std::numeric_limits<std::int32_t>::min();
  for (const std::int32_t status : {0, 99, 103, 600, kMin}) {
    for (const bool repeatable : {false, true}) {
      SCOPED_TRACE(status);
      RouterHarness harness;
      AnsweringAgent first(harness, status);
      AnsweringAgent second(harness, status);
      harness.SetAgents({first.endpoint(), second.endpoint()});
      harness.Route(kRequest, repeatable);
      ASSERT_TRUE(harness.RunUntil([&] { return harness.Ended(); }));
      ASSERT_EQ(harness.received.size(), 1U);
      const auto* refused =
          std::get_if<CallRefused>(&harness.received.front().payload);
      ASSERT_NE(refused, nullptr);
      EXPECT_EQ(refused->outcome, wire::Outcome::kUnknown);
      // Also if not repeatable: agents claim the key of a call to run it once.
      EXPECT_EQ(first.calls() + second.calls(), 2);
    }
  }
}

TEST(InvalidStatus, OfAnAgentIsRepeatedAtAnotherOne) {
  int invalid_calls = 0;
  for (int i = 0; i < 50 && invalid_calls < 2; ++i) {
    RouterHarness harness;
    AnsweringAgent invalid(harness, 0);
    AnsweringAgent sound(harness, 200);
    harness.SetAgents({invalid.endpoint(), sound.endpoint()});
    harness.Route(kRequest, true);
    ASSERT_TRUE(harness.RunUntil([&] { return harness.Ended(); }));
    ASSERT_EQ(harness.received.size(), 3U);
    EXPECT_EQ(std::get<CallHead>(harness.received.front().payload).status, 200);
    invalid_calls += invalid.calls();
  }
  EXPECT_GE(invalid_calls, 2);
}

TEST(InvalidStatus, IsNotAnUnknownOne) {
  for (const std::int32_t status : {200, 299, 399, 418, 499, 520, 599}) {
    for (const bool streamed : {false, true}) {
      SCOPED_TRACE(status);
      const auto response = ResponseFor(status, streamed);
      ASSERT_TRUE(response);
      EXPECT_EQ(response->result_int(), static_cast<unsigned>(status));
    }
  }
}

}  // namespace
}  // namespace peridotgate::entry
