// The driver tells a server that crashed from a connection that broke, with
// real sockets.
#include <optional>
#include <string>
#include <variant>

#include <gtest/gtest.h>

#include "agent/backend_driver.h"
#include "standins/scripted_server.h"

namespace peridotgate::agent {
namespace {

constexpr std::chrono::seconds kTestTime{5};

const std::string kStreamBegin =
    "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\ndata: a\n\n";

// How a call fails at a server that answers with `answer`.
std::optional<BackendFailure> FailureOf(
    const standins::ScriptedAnswer& answer) {
  standins::ScriptedServer server(
      [&](const std::string& /*request*/) { return answer; });
  runtime::Duty duty("backend");
  runtime::Metrics metrics;
  std::optional<BackendFailure> failure;
  runtime::Port<BackendReport> reports(duty, 64, [&](BackendReport&& report) {
    if (const auto* event = std::get_if<BackendEvent>(&report)) {
      if (const auto* it = std::get_if<BackendFailure>(&event->what)) {
        failure = *it;
        duty.context().stop();
      }
    }
  });
  BackendDriver driver(duty, {"127.0.0.1", server.port()}, ServerKind::kEngine,
                       reports, metrics);
  BackendCall call;
  call.id = {{7, 7}, 1};
  call.dispatch.method = "POST";
  call.dispatch.path = "/v1/completions";
  call.dispatch.body = "{}";
  call.dispatch.repeatable = true;
  call.dispatch.streamed = true;
  driver.OnCommand(std::move(call));
  duty.context().run_for(kTestTime);
  return failure;
}

TEST(CrashedServer, IsToldFromABrokenConnection) {
  {
    SCOPED_TRACE("the server ends before it answers");
    const auto failure = FailureOf({"", false, false, false, true});
    ASSERT_TRUE(failure);
    EXPECT_TRUE(failure->crashed);
    EXPECT_TRUE(failure->handed_over);
  }
  {
    SCOPED_TRACE("the server ends after it began to answer");
    const auto failure = FailureOf({kStreamBegin, false, false, false, true});
    ASSERT_TRUE(failure);
    EXPECT_TRUE(failure->crashed);
  }
  {
    SCOPED_TRACE("the connection is reset, the server lives");
    const auto failure = FailureOf({kStreamBegin, false, false, true, false});
    ASSERT_TRUE(failure);
    EXPECT_FALSE(failure->crashed);
  }
}

TEST(FaultyServer, BodyWithoutEndIsNotKeptUntilTheMemoryIsFull) {
  constexpr std::size_t kBytes = 9 << 20;
  const auto failure =
      FailureOf({"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n\r\n" +
                 std::string(kBytes, 'x')});
  ASSERT_TRUE(failure);
  EXPECT_TRUE(failure->handed_over);
  EXPECT_FALSE(failure->crashed);
}

}  // namespace
}  // namespace peridotgate::agent
