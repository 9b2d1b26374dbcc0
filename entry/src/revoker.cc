#include "revoker.h"

namespace peridotgate::entry {
namespace {

constexpr std::chrono::milliseconds kConfirmTimeout{500};

wire::Cancel MakeCancel(const Id128& request, const ActiveAttempt& attempt) {
  wire::Cancel cancel;
  cancel.request_id = wire::ToWire(request);
  cancel.attempt = attempt.number;
  return cancel;
}

}  // namespace

Revoker::Revoker(runtime::Duty& duty,
                 Fleet& fleet,
                 Canceller& canceller,
                 runtime::Metrics& metrics)
    : duty_(duty),
      fleet_(fleet),
      canceller_(canceller),
      confirmed_(metrics.GetCounter("peridotgate_entry_revocations_total",
                                    {{"result", "not_run"}})),
      unconfirmed_(metrics.GetCounter("peridotgate_entry_revocations_total",
                                      {{"result", "unknown"}})) {}

asio::awaitable<AttemptResult> Revoker::OnBroken(const CallState& state) {
  const ActiveAttempt attempt = *state.active;
  if (state.call.dispatch.repeatable) {
    canceller_.Cancel(state.call.request_id, attempt);
    co_return AttemptResult::kBroken;
  }
  const bool not_run = co_await ConfirmNotRun(state.call.request_id, attempt);
  co_return not_run ? AttemptResult::kNotRun : AttemptResult::kBroken;
}

// Whether the agent confirms that the attempt has not run and never will.
asio::awaitable<bool> Revoker::ConfirmNotRun(Id128 request,
                                             ActiveAttempt attempt) {
  const wire::Message message(MakeCancel(request, attempt));
  Fleet::EventInbox inbox(duty_.context());
  bool confirmed = false;
  bool answered = attempt.agent_incarnation == 0 ||
                  !fleet_.Send(attempt.agent, request, inbox, message);
  const auto deadline = std::chrono::steady_clock::now() + kConfirmTimeout;
  while (!answered) {
    const auto left = deadline - std::chrono::steady_clock::now();
    auto event = co_await inbox.Next(
        std::chrono::duration_cast<std::chrono::microseconds>(left));
    answered = !event || !event->message;
    const auto* result =
        answered ? nullptr : std::get_if<wire::CancelResult>(&*event->message);
    if (result != nullptr && result->attempt == attempt.number) {
      answered = true;
      confirmed = IsConfirmation(attempt, *result);
    }
  }
  fleet_.Unregister(attempt.agent, request, inbox);
  (confirmed ? confirmed_ : unconfirmed_).Add();
  co_return confirmed;
}

bool Revoker::IsConfirmation(const ActiveAttempt& attempt,
                             const wire::CancelResult& result) const {
  return result.outcome == wire::Outcome::kNotRun &&
         result.incarnation == attempt.agent_incarnation;
}

}  // namespace peridotgate::entry
