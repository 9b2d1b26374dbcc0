// Test harness: `AgentCore` with fake outputs and a manual clock.
#ifndef AGENT_TESTS_CORE_HARNESS_H_
#define AGENT_TESTS_CORE_HARNESS_H_

#include <string>
#include <utility>
#include <vector>

#include "agent/core.h"

namespace peridotgate::agent {

/** Default link of test calls. */
inline constexpr LinkNumber kLink = 1;

/** Records the effects that the core requests. */
class FakeOutputs : public AgentOutputs {
 public:
  void Reply(LinkNumber link, const wire::Message& message) override {
    replies.emplace_back(link, message);
  }
  bool SendBackend(BackendCommand command) override {
    if (backend_full) {
      return false;
    }
    backend.push_back(std::move(command));
    return true;
  }
  bool SendPlatform(PlatformCommand command) override {
    platform.push_back(std::move(command));
    return true;
  }

  /** The replies of one type, in order. */
  template <class T>
  std::vector<T> All() const {
    std::vector<T> all;
    for (const auto& [link, message] : replies) {
      if (const T* it = std::get_if<T>(&message)) {
        all.push_back(*it);
      }
    }
    return all;
  }

  /** The calls sent to the server. */
  std::vector<BackendCall> Calls() const {
    std::vector<BackendCall> calls;
    for (const BackendCommand& it : backend) {
      if (const auto* call = std::get_if<BackendCall>(&it)) {
        calls.push_back(*call);
      }
    }
    return calls;
  }

  /** Number of cancelled calls. */
  std::size_t Cancels() const { return backend.size() - Calls().size(); }

  bool backend_full = false;
  std::vector<std::pair<LinkNumber, wire::Message>> replies;
  std::vector<BackendCommand> backend;
  std::vector<PlatformCommand> platform;
};

/** A core with fake outputs on a manual clock. */
struct CoreHarness {
  explicit CoreHarness(AgentLimits limits = {})
      : core(clock, std::move(limits), outputs, metrics) {}

  static wire::Dispatch MakeDispatch(std::uint64_t request, bool repeatable) {
    wire::Dispatch dispatch;
    dispatch.request_id = wire::ToWire({request, request});
    dispatch.attempt = 1;
    dispatch.organisation = "brazos";
    dispatch.kind = repeatable ? "quote" : "order-placement";
    dispatch.repeatable = repeatable;
    dispatch.streamed = repeatable;
    dispatch.idempotency_key = repeatable ? "" : "key-1";
    dispatch.body = "{}";
    dispatch.wait_limit_us = 1000000;
    dispatch.weight = 1;
    return dispatch;
  }

  static wire::Cancel MakeCancel(std::uint64_t request, std::int32_t attempt) {
    wire::Cancel cancel;
    cancel.request_id = wire::ToWire({request, request});
    cancel.attempt = attempt;
    return cancel;
  }

  static wire::Attach MakeAttach(std::uint64_t request, std::int32_t attempt) {
    wire::Attach attach;
    attach.request_id = wire::ToWire({request, request});
    attach.organisation = "brazos";
    attach.attempt = attempt;
    return attach;
  }

  /** Delivers the result of the newest claim request. */
  void AnswerClaim(ClaimOutcome outcome, wire::ClaimRecord record = {}) {
    const auto request = std::get<ClaimRequest>(outputs.platform.back());
    core.OnClaimAnswer({request.id, outcome, std::move(record)});
  }

  template <class T>
  void FromBackend(std::uint64_t request, T event) {
    core.OnBackendEvent({{{request, request}, 1}, std::move(event)});
  }

  /** State of the newest command to the table if a result; otherwise 0. */
  int LastResult() const {
    const auto* it = outputs.platform.empty()
                         ? nullptr
                         : std::get_if<ClaimResult>(&outputs.platform.back());
    return it == nullptr ? 0 : static_cast<int>(it->record.state);
  }

  coordination::ManualClock clock;
  runtime::Metrics metrics;
  FakeOutputs outputs;
  AgentCore core;
};

}  // namespace peridotgate::agent

#endif  // AGENT_TESTS_CORE_HARNESS_H_
