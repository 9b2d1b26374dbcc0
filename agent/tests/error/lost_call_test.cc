// A call that was sent twice must not be reported as not run because the second
// sending failed, with real sockets.
#include <optional>
#include <string>
#include <variant>

#include <gtest/gtest.h>

#include "agent/backend_driver.h"
#include "standins/scripted_server.h"

namespace peridotgate::agent {
namespace {

constexpr std::chrono::seconds kTestTime{5};

TEST(LostCall, IsNotReportedAsNotRunAfterASecondSending) {
  standins::ScriptedServer server([](const std::string& /*request*/) {
    standins::ScriptedAnswer answer;
    answer.crash = true;
    return answer;
  });
  runtime::Duty duty("backend");
  runtime::Metrics metrics;
  std::optional<BackendFailure> failure;
  runtime::Port<BackendReport> reports(duty, 64, [&](BackendReport&& report) {
    const auto* event = std::get_if<BackendEvent>(&report);
    if (event != nullptr && event->what.index() == 3) {
      failure = std::get<BackendFailure>(event->what);
      duty.context().stop();
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
  driver.OnCommand(std::move(call));
  duty.context().run_for(kTestTime);
  ASSERT_TRUE(failure);
  EXPECT_TRUE(failure->handed_over);
}

}  // namespace
}  // namespace peridotgate::agent
