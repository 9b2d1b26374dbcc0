// One call that a driver makes at a server, for tests with real sockets.
#ifndef AGENT_TESTS_DRIVEN_CALL_H_
#define AGENT_TESTS_DRIVEN_CALL_H_

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <utility>
#include <variant>

#include "agent/backend_driver.h"
#include "runtime/duty.h"
#include "runtime/metrics.h"

namespace peridotgate::agent {

/** What a driver reported of a call. */
struct DrivenCall {
  std::optional<BackendHead> head;
  std::string data;
  bool ended = false;
  std::optional<BackendFailure> failure;
};

/** Makes a call at the server on `port` and waits until it ended or failed. */
inline DrivenCall DriveCall(std::uint16_t port, wire::Dispatch dispatch) {
  constexpr std::chrono::seconds kTestTime{5};
  DrivenCall call;
  runtime::Duty duty("backend");
  runtime::Metrics metrics;
  runtime::Port<BackendReport> reports(duty, 64, [&](BackendReport&& report) {
    const auto* event = std::get_if<BackendEvent>(&report);
    if (event == nullptr) {
      return;
    }
    if (const auto* head = std::get_if<BackendHead>(&event->what)) {
      call.head = *head;
    } else if (const auto* data = std::get_if<BackendData>(&event->what)) {
      call.data += data->bytes;
    } else {
      call.ended = std::holds_alternative<BackendEnd>(event->what);
      if (!call.ended) {
        call.failure = std::get<BackendFailure>(event->what);
      }
      duty.context().stop();
    }
  });
  BackendDriver driver(duty, {"127.0.0.1", port}, ServerKind::kEngine, reports,
                       metrics);
  BackendCall request;
  request.id = {{7, 7}, 1};
  request.dispatch = std::move(dispatch);
  request.dispatch.method = "POST";
  request.dispatch.path = "/v1/completions";
  driver.OnCommand(std::move(request));
  duty.context().run_for(kTestTime);
  return call;
}

}  // namespace peridotgate::agent

#endif  // AGENT_TESTS_DRIVEN_CALL_H_
