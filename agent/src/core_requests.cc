// How calls are admitted, run and answered.
#include <algorithm>

#include "coordination/check.h"
#include "core_impl.h"
#include "runtime/digest.h"

namespace peridotgate::agent {
namespace {

using coordination::Duration;

constexpr std::chrono::milliseconds kRetryAfter{1000};
constexpr double kTokensPerPiece = 2000;

// Prompt tokens that are not cached.
double PrefillOf(const wire::Dispatch& dispatch, std::int32_t held_pieces) {
  const double cached = held_pieces * kTokensPerPiece;
  return std::max(0.0, static_cast<double>(dispatch.prompt_tokens) - cached);
}

}  // namespace

void AgentCore::Impl::Refuse(LinkNumber link,
                             const AttemptId& id,
                             wire::Outcome::type result,
                             wire::Reason::type reason,
                             std::string detail,
                             std::chrono::milliseconds retry_after) {
  wire::Refusal refusal;
  refusal.request_id = wire::ToWire(id.request_id);
  refusal.attempt = id.attempt;
  refusal.outcome = result;
  refusal.reason = reason;
  refusal.detail = std::move(detail);
  refusal.retry_after_ms = retry_after.count();
  refusal.config_version = rules.version();
  metrics
      .GetCounter("peridotgate_agent_refused_total",
                  {{"reason", std::to_string(reason)}})
      .Add();
  outputs.Reply(link, refusal);
}

void AgentCore::Impl::RefuseNotRun(LinkNumber link,
                                   const AttemptId& id,
                                   wire::Reason::type reason,
                                   std::string detail) {
  Refuse(link, id, wire::Outcome::kNotRun, reason, std::move(detail),
         kRetryAfter);
}

void AgentCore::Impl::RefuseUntaken(LinkNumber link,
                                    const AttemptId& id,
                                    wire::Reason::type reason,
                                    const wire::Dispatch& dispatch) {
  std::chrono::milliseconds retry_after = kRetryAfter;
  if (reason == wire::Reason::kWaitLimit) {
    retry_after = std::chrono::ceil<std::chrono::milliseconds>(
        scheduler.RetryAfter(MakeCall(id, dispatch)));
  }
  Refuse(link, id, Unrun(id, dispatch.repeatable), reason, "", retry_after);
}

// A second copy of a refused dispatch must not run either: "not run" is said
// of a call that may not be repeated only when that can be remembered.
wire::Outcome::type AgentCore::Impl::Unrun(const AttemptId& id,
                                           bool repeatable) {
  const bool holds = repeatable || revoked.Add(id, clock.Now());
  return holds ? wire::Outcome::kNotRun : wire::Outcome::kUnknown;
}

ScheduledCall AgentCore::Impl::MakeCall(const AttemptId& id,
                                        const wire::Dispatch& it) const {
  ScheduledCall call;
  call.request_id = id.request_id;
  call.organisation = it.organisation;
  call.kind = it.kind;
  call.weight = it.weight > 0 ? it.weight : 1;
  call.prefill_tokens = PrefillOf(it, cache.HeldPieces(it.prefix_keys));
  call.cost = std::max(
      1.0, call.prefill_tokens + static_cast<double>(it.output_tokens));
  call.prefix_keys = it.prefix_keys;
  call.long_work = it.long_work;
  call.streamed = it.streamed;
  call.priority = it.priority;
  call.wait_limit = Duration(it.wait_limit_us);
  call.arrived = clock.Now();
  return call;
}

void AgentCore::Impl::Enqueue(LinkNumber from,
                              const AttemptId& id,
                              wire::Dispatch dispatch,
                              std::vector<std::int32_t> earlier) {
  Stream stream;
  stream.id = id;
  stream.arrived = clock.Now();
  stream.last_progress = stream.arrived;
  stream.first_position = dispatch.resume_position;
  stream.dispatch = std::move(dispatch);
  stream.attempts = std::move(earlier);
  stream.Attach(from, id.attempt, stream.first_position);
  scheduler.Push(MakeCall(id, stream.dispatch));
  streams.insert_or_assign(id.request_id, std::move(stream));
  dispatched.Add();
}

// Why `dispatch` can't be taken now, or kNone.
wire::Reason::type AgentCore::Impl::WhyNot(
    const AttemptId& id,
    const wire::Dispatch& dispatch) const {
  if (revoked.Contains(id)) {
    return wire::Reason::kRevoked;
  }
  if (leaving) {
    return wire::Reason::kLeaving;
  }
  if (rules.IsStale(dispatch)) {
    return wire::Reason::kStaleRules;
  }
  if (IsStale(dispatch)) {
    return wire::Reason::kStaleCache;
  }
  return scheduler.Admit(MakeCall(id, dispatch));
}

// Whether the choice of this server relied on a cache that is gone.
bool AgentCore::Impl::IsStale(const wire::Dispatch& dispatch) const {
  return dispatch.engine_incarnation != 0 &&
         (dispatch.engine_incarnation != cache.incarnation() ||
          dispatch.weights_version != cache.weights_version());
}

// A dispatch of a request that is known here: it gets the answer that there
// is, from where it stands.
void AgentCore::Impl::TakeAgain(LinkNumber from,
                                const AttemptId& id,
                                Stream& stream,
                                const wire::Dispatch& dispatch) {
  if (dispatch.organisation != stream.dispatch.organisation ||
      !stream.Covers(dispatch.resume_position)) {
    RefuseNotRun(from, id, wire::Reason::kNoSuchStream, "");
    return;
  }
  stream.revoked = false;
  stream.Attach(from, id.attempt, dispatch.resume_position);
  stream.Forward(outputs);
}

// Refuses what waited past its limit, then starts waiting calls while the
// server has room.
void AgentCore::Impl::Pump() {
  while (auto expired = scheduler.NextExpired()) {
    auto it = streams.find(*expired);
    PG_CHECK(it != streams.end());
    RefuseUnrun(it->second, wire::Reason::kWaitLimit, "waited too long");
  }
  while (auto next = scheduler.Next()) {
    auto it = streams.find(next->request_id);
    PG_CHECK(it != streams.end());
    PG_CHECK(it->second.state.Is("queued"));
    it->second.dispatch.priority = next->priority;
    Begin(it->second);
  }
}

ClaimKey AgentCore::Impl::KeyOf(const Stream& stream) {
  const wire::Dispatch& it = stream.dispatch;
  return {it.organisation, it.kind, it.idempotency_key};
}

void AgentCore::Impl::Begin(Stream& stream) {
  ScheduledCall call = MakeCall(stream.id, stream.dispatch);
  call.arrived = stream.arrived;
  if (!scheduler.StartsInTime(call)) {
    DropUnrun(stream, wire::Reason::kWaitLimit, "it would answer too late");
    return;
  }
  if (IsStale(stream.dispatch)) {
    DropUnrun(stream, wire::Reason::kStaleCache, "the server started again");
    return;
  }
  if (stream.dispatch.repeatable) {
    HandOver(stream);
    return;
  }
  Claim(stream);
}

void AgentCore::Impl::Claim(Stream& stream) {
  ClaimRequest request;
  request.id = stream.id;
  request.key = KeyOf(stream);
  request.body_digest = runtime::Sha256Hex(stream.dispatch.body);
  request.attempt_token = coordination::NewId();
  stream.claim_token = request.attempt_token;
  stream.body_digest = request.body_digest;
  if (const wire::ClaimRecord* known = recent.Find(request.key)) {
    stream.state.Step("claim");
    AnswerFromRecord(stream, *known);
    return;
  }
  if (!outputs.SendPlatform(std::move(request))) {
    DropUnrun(stream, wire::Reason::kQueueFull, "too many claims");
    return;
  }
  stream.state.Step("claim");
}

// The claim is this attempt's: nothing else may run under its key.
void AgentCore::Impl::OnClaimed(Stream& stream) {
  const Duration waited = clock.Now() - stream.arrived;
  if (waited.count() > stream.dispatch.wait_limit_us) {
    ReleaseClaim(stream);
    DropUnrun(stream, wire::Reason::kWaitLimit, "the claim took too long");
    return;
  }
  HandOver(stream);
}

void AgentCore::Impl::HandOver(Stream& stream) {
  if (!outputs.SendBackend(BackendCall{stream.id, stream.dispatch})) {
    if (!stream.dispatch.repeatable) {
      ReleaseClaim(stream);
    }
    DropUnrun(stream, wire::Reason::kQueueFull, "server's port is full");
    return;
  }
  stream.state.Step("hand_over");
  stream.started = clock.Now();
  stream.last_progress = stream.started;
  scheduler.OnHandedOver(stream.id.request_id);
}

// Refuses a call that was not handed over, and forgets it.
void AgentCore::Impl::DropUnrun(Stream& stream,
                                wire::Reason::type reason,
                                std::string detail) {
  if (!stream.state.Is("dropped")) {
    stream.state.Step("drop");
  }
  scheduler.Finish(stream.id.request_id, 0);
  RefuseUnrun(stream, reason, std::move(detail));
}

// Tells its receiver, when there is one, and forgets it.
void AgentCore::Impl::RefuseUnrun(Stream& stream,
                                  wire::Reason::type reason,
                                  std::string detail) {
  const Id128 request = stream.id.request_id;
  auto said = wire::Outcome::kNotRun;
  for (const std::int32_t it : stream.attempts) {
    said = Unrun({request, it}, stream.dispatch.repeatable);
  }
  if (stream.link != 0) {
    Refuse(stream.link, {request, stream.link_attempt}, said, reason,
           std::move(detail), kRetryAfter);
  }
  Erase(streams.find(stream.id.request_id));
}

// The claim is of no use any more; what it holds is given back.
void AgentCore::Impl::DropRevoked(Stream& stream, ClaimOutcome claim) {
  if (claim == ClaimOutcome::kClaimed) {
    ReleaseClaim(stream);
  }
  stream.link = 0;
  DropUnrun(stream, wire::Reason::kRevoked, "");
}

// Keeps `stream` from the server: at once, or when its claim is answered.
void AgentCore::Impl::DropOrMark(Stream& stream) {
  if (stream.state.Is("claiming")) {
    stream.revoked = true;
    return;
  }
  scheduler.Remove(stream.id.request_id);
  Erase(streams.find(stream.id.request_id));
}

// What became of an attempt; "not run" only if it can't run any more. One that
// a newer attempt has replaced shares the fate of that one.
wire::Outcome::type AgentCore::Impl::Revoke(const AttemptId& id) {
  auto known = streams.find(id.request_id);
  const bool here = known != streams.end();
  if (here && known->second.state.Is("ended")) {
    return known->second.end->outcome;
  }
  const bool waits =
      here && known->second.link_attempt == id.attempt &&
      (known->second.state.Is("queued") || known->second.state.Is("claiming"));
  if ((here && !waits) || !revoked.Add(id, clock.Now())) {
    return wire::Outcome::kUnknown;
  }
  if (waits) {
    DropOrMark(known->second);
  }
  return wire::Outcome::kNotRun;
}

// Only the receiver that is attached may stop work, and only work that may be
// repeated is stopped.
void AgentCore::Impl::CancelRunning(LinkNumber from, const AttemptId& id) {
  auto known = streams.find(id.request_id);
  if (known == streams.end() || known->second.link != from ||
      known->second.link_attempt != id.attempt ||
      !known->second.state.Is("running") ||
      !known->second.dispatch.repeatable) {
    return;
  }
  known->second.link = 0;
  outputs.SendBackend(BackendCancel{known->second.id});
}

}  // namespace peridotgate::agent
