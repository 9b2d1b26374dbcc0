// Guards against a multi-line event being split into several events on its way
// to the caller.
#include <gtest/gtest.h>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include "call_answer.h"
#include "caller_request.h"

namespace peridotgate::entry {
namespace {

// Records the text written to the caller.
class RecordingExchange : public runtime::HttpExchange {
 public:
  asio::awaitable<bool> Send(runtime::HttpResponse /*response*/) override {
    co_return true;
  }
  asio::awaitable<bool> BeginStream(
      runtime::HttpResponse /*response*/) override {
    co_return true;
  }
  asio::awaitable<bool> Write(std::string_view data) override {
    text += data;
    co_return true;
  }
  asio::awaitable<bool> EndStream() override { co_return ended = true; }
  void Abort() override {}

  std::string text;
  bool ended = false;
};

TEST(MultiLineEvent, EachLineGetsItsOwnDataField) {
  runtime::Duty duty("callers");
  runtime::Metrics metrics;
  runtime::Port<RouterCommand> commands(duty, 16, [](RouterCommand&&) {});
  const ProblemSender problems(metrics);
  const Id128 id{0, 7};
  CallInbox inbox(duty.context());
  RecordingExchange exchange;
  CallAnswer answer({duty, commands, problems}, id, inbox, exchange);
  std::optional<CallEvent> first(CallEvent{
      id, CallHead{200, "text/event-stream", {"127.0.0.1", 7}, false}});
  for (const char* it : {"one", "two\nlines", "", "ends\n"}) {
    inbox.Put(CallEvent{id, CallData{0, it}});
  }
  inbox.Put(CallEvent{id, CallEnd{wire::Outcome::kRan, {}, ""}});
  asio::co_spawn(duty.context(), answer.Send(first, true), asio::detached);
  duty.context().run_for(std::chrono::seconds(5));

  const std::string event_id =
      "id: " + FormatEventId(id, {"127.0.0.1", 7}, 0) + "\n";
  EXPECT_EQ(exchange.text, event_id + "data: one\n\n" +                   //
                               event_id + "data: two\ndata: lines\n\n" +  //
                               event_id + "data: \n\n" +                  //
                               event_id + "data: ends\ndata: \n\n" +
                               "data: [DONE]\n\n");
  EXPECT_TRUE(exchange.ended);
}

}  // namespace
}  // namespace peridotgate::entry
