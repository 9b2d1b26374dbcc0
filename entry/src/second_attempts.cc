#include "second_attempts.h"

#include <algorithm>
#include <utility>

namespace peridotgate::entry {
namespace {

using std::chrono::microseconds;

constexpr microseconds kMinDelay{1};

// The attempt number in a message, or -1 if it has none.
struct AttemptNumberOf {
  template <class T>
  std::int32_t operator()(const T& message) const {
    if constexpr (requires { message.attempt; }) {
      return message.attempt;
    } else {
      return -1;
    }
  }
};

double CostOf(const RouteCall& call) {
  return static_cast<double>(call.dispatch.prompt_tokens +
                             call.dispatch.output_tokens);
}

bool IsEligible(const CallState& state) {
  return state.call.second_attempt && state.call.dispatch.repeatable &&
         state.call.dispatch.streamed && !state.call.resume &&
         !state.head_relayed && !state.second_tried;
}

}  // namespace

SecondAttempts::SecondAttempts(Fleet& fleet,
                               Canceller& canceller,
                               const coordination::Clock& clock,
                               runtime::Metrics& metrics)
    : fleet_(fleet),
      canceller_(canceller),
      clock_(clock),
      started_(metrics.GetCounter("peridotgate_entry_second_attempts_total",
                                  {{"result", "started"}})),
      won_(metrics.GetCounter("peridotgate_entry_second_attempts_total",
                              {{"result", "won"}})),
      denied_(metrics.GetCounter("peridotgate_entry_second_attempts_total",
                                 {{"result", "denied"}})) {}

void SecondAttempts::OnCall(const RouteCall& call) {
  policy_.OnCall(CostOf(call));
}

std::optional<microseconds> SecondAttempts::Delay(
    const CallState& state) const {
  if (!IsEligible(state)) {
    return std::nullopt;
  }
  const microseconds delay = policy_.Delay(state.active->predicted);
  const auto waited = clock_.Now() - state.active->started;
  return std::max(kMinDelay, delay - waited);
}

bool SecondAttempts::TryStart(CallState& state) {
  state.second_tried = true;
  const bool started = policy_.TryStart(CostOf(state.call));
  if (!started) {
    denied_.Add();
  }
  return started;
}

void SecondAttempts::OnStarted(CallState& state, ActiveAttempt second) {
  started_.Add();
  state.second = std::move(second);
}

bool SecondAttempts::ResolveRace(CallState& state,
                                 AttemptOrder& order,
                                 const wire::Message& message) {
  if (!state.second) {
    return true;
  }
  const std::int32_t number = std::visit(AttemptNumberOf(), message);
  const bool is_second = number == state.second->number;
  if (!is_second && number != state.active->number) {
    return true;
  }
  if (std::holds_alternative<wire::ReplyHead>(message)) {
    if (is_second) {
      RecordFirstToken(*state.active);
      canceller_.Cancel(state.call.request_id, *state.active);
      PromoteSecond(state, order);
      won_.Add();
    } else {
      CancelSecond(state);
    }
    return true;
  }
  // An end or a refusal before any head: only the other attempt continues.
  if (is_second) {
    Unregister(state, *state.second);
    state.second.reset();
  } else {
    state.refused_by.insert(state.active->instance);
    PromoteSecond(state, order);
  }
  return false;
}

void SecondAttempts::OnHead(const CallState& state) {
  if (state.call.dispatch.streamed && state.active && !state.call.resume) {
    RecordFirstToken(*state.active);
  }
}

void SecondAttempts::CancelSecond(CallState& state) {
  if (state.second) {
    canceller_.Cancel(state.call.request_id, *state.second);
    Unregister(state, *state.second);
    state.second.reset();
  }
}

void SecondAttempts::RecordFirstToken(const ActiveAttempt& attempt) {
  policy_.OnFirstToken(attempt.predicted, clock_.Now() - attempt.started);
}

void SecondAttempts::Unregister(const CallState& state,
                                const ActiveAttempt& attempt) {
  fleet_.Unregister(attempt.agent, state.call.request_id, *attempt.inbox);
}

void SecondAttempts::PromoteSecond(CallState& state, AttemptOrder& order) {
  Unregister(state, *state.active);
  state.active = std::move(state.second);
  state.second.reset();
  order = AttemptOrder(state.active->number, state.position);
}

}  // namespace peridotgate::entry
