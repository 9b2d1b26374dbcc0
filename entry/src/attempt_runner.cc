#include "attempt_runner.h"

#include <set>
#include <string>

#include "attempt.h"

namespace peridotgate::entry {
namespace {

using coordination::Duration;

constexpr std::chrono::microseconds kAnswerTimeout{120000000};
constexpr std::chrono::microseconds kFirstEventTimeout{30000000};
constexpr std::chrono::microseconds kNextEventTimeout{5000000};

// How long to wait for the next message of an attempt before it counts as lost.
std::chrono::microseconds SilenceTimeout(const CallState& state) {
  if (!state.call.dispatch.repeatable || !state.call.dispatch.streamed) {
    return kAnswerTimeout;
  }
  return state.head_relayed ? kNextEventTimeout : kFirstEventTimeout;
}

}  // namespace

AttemptRunner::AttemptRunner(runtime::Duty& duty,
                             const coordination::Clock& clock,
                             const AttemptRunnerDeps& deps,
                             runtime::Metrics& metrics)
    : duty_(duty),
      clock_(clock),
      deps_(deps),
      attempts_(metrics.GetCounter("peridotgate_entry_attempts_total")),
      stalls_(metrics.GetCounter("peridotgate_entry_stalled_attempts_total")) {}

asio::awaitable<AttemptResult> AttemptRunner::RunAttempt(
    CallState& state,
    const SelectedServer& selected) {
  ++state.attempts;
  attempts_.Add();
  state.last_refusal.reset();
  const ActiveAttempt attempt = MakeAttempt(state, selected);
  const wire::Message message(MakeDispatch(state, selected));
  co_return co_await SendAndRelay(state, attempt, message);
}

asio::awaitable<bool> AttemptRunner::ResumeStream(CallState& state) {
  const ResumePoint& point = *state.call.resume;
  state.position = point.position;
  state.consumed = point.position;
  if (!deps_.fleet.IsListed(point.agent)) {
    co_return false;
  }
  wire::Attach attach;
  attach.request_id = wire::ToWire(state.call.request_id);
  attach.organisation = state.call.dispatch.organisation;
  attach.position = point.position;
  attach.attempt = state.base_attempt_number;
  ActiveAttempt attempt;
  attempt.number = state.base_attempt_number;
  attempt.agent = point.agent;
  const AttemptResult result = co_await SendAndRelay(state, attempt, attach);
  co_return result == AttemptResult::kFinished ||
      result == AttemptResult::kDropped;
}

ActiveAttempt AttemptRunner::MakeAttempt(const CallState& state,
                                         const SelectedServer& selected) const {
  ActiveAttempt attempt;
  attempt.agent = selected.agent;
  attempt.number = state.base_attempt_number + state.attempts;
  attempt.instance = selected.instance;
  attempt.started = clock_.Now();
  attempt.predicted = selected.predicted;
  return attempt;
}

wire::Dispatch AttemptRunner::MakeDispatch(
    const CallState& state,
    const SelectedServer& selected) const {
  wire::Dispatch dispatch = state.call.dispatch;
  dispatch.request_id = wire::ToWire(state.call.request_id);
  dispatch.attempt = state.base_attempt_number + state.attempts;
  dispatch.engine_incarnation = selected.engine_incarnation;
  dispatch.weights_version = selected.weights_version;
  dispatch.resume_position = state.position;
  dispatch.priority = selected.priority;
  dispatch.wait_limit_us = RemainingWait(state).count();
  return dispatch;
}

// Starts a second attempt on another server because the first has produced no
// output in time. Does nothing if a message arrives during the selection.
asio::awaitable<void> AttemptRunner::StartSecond(CallState& state,
                                                 Fleet::EventInbox& inbox) {
  if (!deps_.second_attempts.TryStart(state) ||
      state.attempts >= kMaxAttempts) {
    co_return;
  }
  std::set<std::string> excluded = state.refused_by;
  excluded.insert(state.active->instance);
  auto selected = co_await deps_.selector.Select(state.call, excluded);
  if (!selected || inbox.size() > 0) {
    co_return;
  }
  ++state.attempts;
  attempts_.Add();
  ActiveAttempt second = MakeAttempt(state, *selected);
  second.credit = state.active->credit;
  second.inbox = &inbox;
  wire::Dispatch dispatch = MakeDispatch(state, *selected);
  dispatch.second_attempt = true;
  const wire::Message message(std::move(dispatch));
  if (deps_.fleet.Send(second.agent, state.call.request_id, inbox, message)) {
    deps_.second_attempts.OnStarted(state, std::move(second));
  }
}

// The call's deadline applies until the answer begins. An answer that has begun
// and continues on another server, or that the caller resumes, gets the full
// wait limit.
coordination::Duration AttemptRunner::RemainingWait(
    const CallState& state) const {
  if (state.head_relayed || state.call.resume) {
    return Duration(state.call.dispatch.wait_limit_us);
  }
  return state.deadline - clock_.Now();
}

// Sends `request` and relays replies until the attempt ends.
asio::awaitable<AttemptResult> AttemptRunner::SendAndRelay(
    CallState& state,
    ActiveAttempt attempt,
    const wire::Message& request) {
  Fleet::EventInbox inbox(duty_.context());
  attempt.credit = state.position + kStreamCredit;
  attempt.inbox = &inbox;
  state.active = attempt;
  AttemptResult result = AttemptResult::kNotRun;
  if (deps_.fleet.Send(attempt.agent, state.call.request_id, inbox, request)) {
    result = co_await Relay(state, inbox);
  }
  deps_.second_attempts.CancelSecond(state);
  deps_.fleet.Unregister(state.active->agent, state.call.request_id, inbox);
  if (result == AttemptResult::kDropped) {
    deps_.canceller.OnCallerGone(state);
  }
  if (result == AttemptResult::kBroken) {
    result = co_await deps_.revoker.OnBroken(state);
  }
  state.active.reset();
  co_return result;
}

asio::awaitable<AttemptResult> AttemptRunner::Relay(CallState& state,
                                                    Fleet::EventInbox& inbox) {
  AttemptOrder order(state.active->number, state.position);
  while (true) {
    const auto delay = deps_.second_attempts.Delay(state);
    const auto timeout = delay.value_or(SilenceTimeout(state));
    auto event = co_await inbox.Next(timeout);
    if (state.dropped) {
      co_return AttemptResult::kDropped;
    }
    if (event) {
      state.active->agent_incarnation = event->agent_incarnation;
    }
    if (!event && delay) {
      co_await StartSecond(state, inbox);
      continue;
    }
    if (!event && state.out_of_credit()) {
      continue;
    }
    if (!event) {
      stalls_.Add();
      co_return AttemptResult::kBroken;
    }
    if (!event->message) {
      co_return event->was_sent ? AttemptResult::kBroken
                                : AttemptResult::kNotRun;
    }
    if (!deps_.second_attempts.ResolveRace(state, order, *event->message)) {
      continue;
    }
    const bool head_was_relayed = state.head_relayed;
    auto result = deps_.relay.Relay(state, order, *event->message);
    if (!head_was_relayed && state.head_relayed) {
      deps_.second_attempts.OnHead(state);
    }
    if (result) {
      co_return *result;
    }
  }
}

void AttemptRunner::GrantCredit(CallState& state, std::int64_t position) {
  if (!state.active) {
    return;
  }
  ActiveAttempt& attempt = *state.active;
  attempt.credit = position + kStreamCredit;
  wire::StreamCredit credit;
  credit.request_id = wire::ToWire(state.call.request_id);
  credit.attempt = attempt.number;
  credit.position = attempt.credit;
  deps_.fleet.SendOneWay(attempt.agent, credit);
}

}  // namespace peridotgate::entry
