// Admission of calls, their dispatch to the server, and cancellation.
#include <algorithm>

#include "coordination/check.h"
#include "core_impl.h"
#include "runtime/digest.h"

namespace peridotgate::agent {
namespace {

using coordination::Duration;

constexpr std::chrono::milliseconds kRetryAfter{1000};
constexpr double kTokensPerPiece = 2000;

// Number of prompt tokens that aren't cached.
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

void AgentCore::Impl::RefuseAdmission(LinkNumber link,
                                      const AttemptId& id,
                                      wire::Reason::type reason,
                                      const wire::Dispatch& dispatch) {
  Refuse(link, id, NotRunOutcome(id, dispatch.repeatable), reason, "",
         RetryAfter(id, reason, dispatch));
}

std::chrono::milliseconds AgentCore::Impl::RetryAfter(
    const AttemptId& id,
    wire::Reason::type reason,
    const wire::Dispatch& dispatch) const {
  using std::chrono::ceil;
  using std::chrono::milliseconds;
  switch (reason) {
    case wire::Reason::kWaitLimit:
      return ceil<milliseconds>(scheduler.RetryAfter(MakeCall(id, dispatch)));
    case wire::Reason::kQuarantinedPart:
      return std::max(kRetryAfter,
                      ceil<milliseconds>(FindQuarantine(dispatch).left));
    default:
      return kRetryAfter;
  }
}

// A duplicate of a refused dispatch must not run either. So kNotRun is reported
// for a non-repeatable call only if the attempt can be recorded as revoked.
wire::Outcome::type AgentCore::Impl::NotRunOutcome(const AttemptId& id,
                                                   bool repeatable) {
  const bool is_revoked_or_repeatable =
      repeatable || revoked.Add(id, clock.Now());
  return is_revoked_or_repeatable ? wire::Outcome::kNotRun
                                  : wire::Outcome::kUnknown;
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
                              std::vector<std::int32_t> earlier_attempts) {
  Stream stream;
  stream.id = id;
  stream.arrived = clock.Now();
  stream.last_progress = stream.arrived;
  stream.first_position = dispatch.resume_position;
  stream.dispatch = std::move(dispatch);
  stream.attempts = std::move(earlier_attempts);
  stream.Attach(from, id.attempt, stream.first_position);
  scheduler.Push(MakeCall(id, stream.dispatch));
  streams.insert_or_assign(id.request_id, std::move(stream));
  dispatched.Add();
}

// The reason to refuse `dispatch` now, or kNone.
wire::Reason::type AgentCore::Impl::CheckAdmission(
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
  if (FindQuarantine(dispatch).state == coordination::PartState::kQuarantined) {
    return wire::Reason::kQuarantinedPart;
  }
  return scheduler.Admit(MakeCall(id, dispatch));
}

// Whether this server was chosen for a cache that no longer exists because the
// engine restarted or changed its weights.
bool AgentCore::Impl::IsStale(const wire::Dispatch& dispatch) const {
  return dispatch.engine_incarnation != 0 &&
         (dispatch.engine_incarnation != cache.incarnation() ||
          dispatch.weights_version != cache.weights_version());
}

// Attaches a new attempt at a known request to its existing stream, from the
// position that the attempt asks for.
void AgentCore::Impl::AttachToExisting(LinkNumber from,
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

// Refuses calls that waited beyond their limit, then starts waiting calls while
// the server has room.
void AgentCore::Impl::StartReadyCalls() {
  while (auto expired = scheduler.NextExpired()) {
    auto it = streams.find(*expired);
    PG_CHECK(it != streams.end());
    RefuseAndErase(it->second, wire::Reason::kWaitLimit, "waited too long");
  }
  while (auto next = scheduler.Next()) {
    auto it = streams.find(next->request_id);
    PG_CHECK(it != streams.end());
    PG_CHECK(it->second.state.Is("queued"));
    it->second.dispatch.priority = next->priority;
    Start(it->second);
  }
}

ClaimKey AgentCore::Impl::ClaimKeyOf(const Stream& stream) {
  const wire::Dispatch& it = stream.dispatch;
  return {it.organisation, it.kind, it.idempotency_key};
}

void AgentCore::Impl::Start(Stream& stream) {
  ScheduledCall call = MakeCall(stream.id, stream.dispatch);
  call.arrived = stream.arrived;
  if (!scheduler.StartsInTime(call)) {
    FinishNotRun(stream, wire::Reason::kWaitLimit, "it would answer too late");
    return;
  }
  if (IsStale(stream.dispatch)) {
    FinishNotRun(stream, wire::Reason::kStaleCache, "the server started again");
    return;
  }
  if (!MayReachServer(stream.dispatch)) {
    FinishNotRun(stream, wire::Reason::kQuarantinedPart,
                 "servers crashed on a part of it");
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
  request.key = ClaimKeyOf(stream);
  request.body_digest = runtime::Sha256Hex(stream.dispatch.body);
  request.attempt_token = coordination::NewId();
  stream.claim_token = request.attempt_token;
  stream.body_digest = request.body_digest;
  if (const wire::ClaimRecord* found = recent_replies.Find(request.key)) {
    stream.state.Step("claim");
    AnswerFromRecord(stream, *found);
    return;
  }
  if (!outputs.SendPlatform(std::move(request))) {
    FinishNotRun(stream, wire::Reason::kQueueFull, "too many claims");
    return;
  }
  stream.state.Step("claim");
}

// This attempt owns the claim: no other may run with its key.
void AgentCore::Impl::OnClaimed(Stream& stream) {
  const Duration waited = clock.Now() - stream.arrived;
  if (waited.count() > stream.dispatch.wait_limit_us) {
    ReleaseClaim(stream);
    FinishNotRun(stream, wire::Reason::kWaitLimit, "the claim took too long");
    return;
  }
  HandOver(stream);
}

void AgentCore::Impl::HandOver(Stream& stream) {
  if (!outputs.SendBackend(BackendCall{stream.id, stream.dispatch})) {
    if (!stream.dispatch.repeatable) {
      ReleaseClaim(stream);
    }
    FinishNotRun(stream, wire::Reason::kQueueFull, "server's port is full");
    return;
  }
  stream.state.Step("hand_over");
  stream.started = clock.Now();
  stream.last_progress = stream.started;
  scheduler.OnHandedOver(stream.id.request_id);
}

// Frees the slot of a call that was not sent to the server, refuses the call
// and erases it.
void AgentCore::Impl::FinishNotRun(Stream& stream,
                                   wire::Reason::type reason,
                                   std::string detail) {
  if (!stream.state.Is("dropped")) {
    stream.state.Step("drop");
  }
  scheduler.Finish(stream.id.request_id, 0);
  RefuseAndErase(stream, reason, std::move(detail));
}

// Refuses the call to its attached link, if there is one, and erases it.
void AgentCore::Impl::RefuseAndErase(Stream& stream,
                                     wire::Reason::type reason,
                                     std::string detail) {
  const Id128 request = stream.id.request_id;
  auto outcome = wire::Outcome::kNotRun;
  for (const std::int32_t it : stream.attempts) {
    outcome = NotRunOutcome({request, it}, stream.dispatch.repeatable);
  }
  if (stream.link != 0) {
    const auto retry_after =
        reason == wire::Reason::kQuarantinedPart
            ? RetryAfter(stream.id, reason, stream.dispatch)
            : kRetryAfter;
    Refuse(stream.link, {request, stream.link_attempt}, outcome, reason,
           std::move(detail), retry_after);
  }
  Erase(streams.find(stream.id.request_id));
}

// Handles the claim result of a call that was revoked while the claim was
// pending. Releases the claim if it was made.
void AgentCore::Impl::AbandonClaim(Stream& stream, ClaimOutcome claim) {
  if (claim == ClaimOutcome::kClaimed) {
    ReleaseClaim(stream);
  }
  stream.link = 0;
  FinishNotRun(stream, wire::Reason::kRevoked, "");
}

// Withdraws a call before it reaches the server: at once, or, while its claim
// is pending, when the result arrives.
void AgentCore::Impl::WithdrawWaiting(Stream& stream) {
  if (stream.state.Is("claiming")) {
    stream.revoked = true;
    return;
  }
  scheduler.Remove(stream.id.request_id);
  Erase(streams.find(stream.id.request_id));
}

// Revokes an attempt if possible and returns its outcome: kNotRun only if it
// can't run any more. If the request has ended, the outcome is that of its
// stream, even if a newer attempt has replaced this one.
wire::Outcome::type AgentCore::Impl::Revoke(const AttemptId& id) {
  auto found = streams.find(id.request_id);
  const bool exists = found != streams.end();
  if (exists && found->second.state.Is("ended")) {
    return found->second.end->outcome;
  }
  const bool is_waiting =
      exists && found->second.link_attempt == id.attempt &&
      (found->second.state.Is("queued") || found->second.state.Is("claiming"));
  if ((exists && !is_waiting) || !revoked.Add(id, clock.Now())) {
    return wire::Outcome::kUnknown;
  }
  if (is_waiting) {
    WithdrawWaiting(found->second);
  }
  return wire::Outcome::kNotRun;
}

// Only the attached link may cancel a call, and only repeatable calls are
// cancelled.
void AgentCore::Impl::CancelRunning(LinkNumber from, const AttemptId& id) {
  auto found = streams.find(id.request_id);
  if (found == streams.end() || found->second.link != from ||
      found->second.link_attempt != id.attempt ||
      !found->second.state.Is("running") ||
      !found->second.dispatch.repeatable) {
    return;
  }
  found->second.link = 0;
  outputs.SendBackend(BackendCancel{found->second.id});
}

}  // namespace peridotgate::agent
