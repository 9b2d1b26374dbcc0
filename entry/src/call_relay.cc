#include "call_relay.h"

#include "coordination/check.h"
#include "entry/problem.h"
#include "runtime/response_head.h"

namespace peridotgate::entry {
namespace {

constexpr std::int64_t kRetryAfterMs = 1000;

}  // namespace

CallRelay::CallRelay(runtime::Port<CallEvent>& events,
                     runtime::Metrics& metrics)
    : events_(events),
      metrics_(metrics),
      discarded_(metrics.GetCounter("peridotgate_entry_foreign_replies_total")),
      gaps_(metrics.GetCounter("peridotgate_entry_reply_holes_total")),
      invalid_(metrics.GetCounter("peridotgate_entry_invalid_heads_total")),
      channel_full_(metrics.GetCounter("peridotgate_entry_port_full_total")) {}

// Sends an event to the caller server. False if the channel is full.
template <class T>
bool CallRelay::Post(const CallState& state, T payload) {
  CallEvent event{state.call.request_id, std::move(payload)};
  if (events_.TrySend(std::move(event))) {
    return true;
  }
  channel_full_.Add();
  return false;
}

void CallRelay::FailCall(const CallState& state,
                         wire::Outcome::type result,
                         wire::Reason::type reason,
                         std::string detail) {
  metrics_
      .GetCounter("peridotgate_entry_given_up_total",
                  {{"reason", ReasonName(reason)}})
      .Add();
  if (state.head_relayed) {
    Post(state, CallEnd{result, reason, std::move(detail)});
    return;
  }
  const std::int64_t retry_after_ms =
      state.last_refusal && state.last_refusal->retry_after_ms > 0
          ? state.last_refusal->retry_after_ms
          : kRetryAfterMs;
  Post(state, CallRefused{result, reason, std::move(detail), retry_after_ms});
}

std::optional<AttemptResult> CallRelay::Relay(CallState& state,
                                              AttemptOrder& order,
                                              wire::Message& message) {
  if (auto* head = std::get_if<wire::ReplyHead>(&message)) {
    return RelayHead(state, order.Classify(*head), *head);
  }
  if (auto* chunk = std::get_if<wire::ReplyChunk>(&message)) {
    return RelayChunk(state, order.Classify(*chunk), *chunk);
  }
  if (auto* end = std::get_if<wire::ReplyEnd>(&message)) {
    return RelayEnd(state, order.Classify(*end), *end);
  }
  if (auto* refusal = std::get_if<wire::Refusal>(&message)) {
    if (order.Classify(*refusal) == MessageVerdict::kAccept) {
      state.last_refusal = *refusal;
      return refusal->outcome == wire::Outcome::kNotRun
                 ? AttemptResult::kNotRun
                 : AttemptResult::kBroken;
    }
    discarded_.Add();
  }
  return std::nullopt;
}

std::optional<AttemptResult> CallRelay::OnRejected(MessageVerdict verdict) {
  if (verdict == MessageVerdict::kGap) {
    gaps_.Add();
    return AttemptResult::kBroken;
  }
  discarded_.Add();
  return std::nullopt;
}

std::optional<AttemptResult> CallRelay::RelayHead(CallState& state,
                                                  MessageVerdict verdict,
                                                  const wire::ReplyHead& head) {
  if (verdict != MessageVerdict::kAccept) {
    return OnRejected(verdict);
  }
  if (!runtime::IsFinalStatus(head.status)) {
    invalid_.Add();
    return AttemptResult::kBroken;
  }
  if (!state.head_relayed) {
    Post(state, CallHead{head.status, head.content_type, state.active->agent,
                         head.replayed});
    state.head_relayed = true;
  }
  return std::nullopt;
}

std::optional<AttemptResult> CallRelay::RelayChunk(CallState& state,
                                                   MessageVerdict verdict,
                                                   wire::ReplyChunk& chunk) {
  if (verdict != MessageVerdict::kAccept) {
    return OnRejected(verdict);
  }
  PG_CHECK(chunk.position == state.position);
  if (!Post(state, CallData{chunk.position, std::move(chunk.data)})) {
    return AttemptResult::kBroken;
  }
  ++state.position;
  return std::nullopt;
}

std::optional<AttemptResult> CallRelay::RelayEnd(CallState& state,
                                                 MessageVerdict verdict,
                                                 const wire::ReplyEnd& end) {
  if (verdict != MessageVerdict::kAccept) {
    return OnRejected(verdict);
  }
  if (end.outcome == wire::Outcome::kRan) {
    const CallUsage usage{end.cached_tokens, end.prefill_tokens,
                          end.output_tokens};
    Post(state, CallEnd{end.outcome, end.reason, end.detail, usage});
    return AttemptResult::kFinished;
  }
  if (state.call.dispatch.repeatable) {
    return AttemptResult::kBroken;
  }
  if (end.reason == wire::Reason::kInProgress && state.may_have_run) {
    state.last_refusal.emplace();
    state.last_refusal->outcome = end.outcome;
    state.last_refusal->reason = end.reason;
    state.last_refusal->detail = end.detail;
    return AttemptResult::kBroken;
  }
  FailCall(state, end.outcome, end.reason, end.detail);
  return AttemptResult::kFinished;
}

}  // namespace peridotgate::entry
