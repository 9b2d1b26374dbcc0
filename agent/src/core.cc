#include "agent/core.h"

#include <algorithm>
#include <iterator>

#include "coordination/check.h"
#include "core_impl.h"

namespace peridotgate::agent {

using coordination::TimePoint;

AgentCore::Impl::Impl(const coordination::Clock& clock,
                      AgentLimits limits,
                      AgentOutputs& outputs,
                      runtime::Metrics& metrics)
    : clock(clock),
      limits(std::move(limits)),
      outputs(outputs),
      metrics(metrics),
      late_events(metrics.GetCounter("peridotgate_agent_late_events_total")),
      duplicates(
          metrics.GetCounter("peridotgate_agent_duplicate_messages_total")),
      dispatched(metrics.GetCounter("peridotgate_agent_dispatches_total")),
      results_dropped(
          metrics.GetCounter("peridotgate_agent_results_dropped_total")),
      evicted(metrics.GetCounter("peridotgate_agent_answers_evicted_total")),
      aborted_streams(
          metrics.GetCounter("peridotgate_agent_answers_cut_total")),
      scheduler(clock, {this->limits.slots, this->limits.queued}),
      revoked(this->limits.revocations, this->limits.revocation_retention),
      recent_replies(this->limits.recent_reply_bytes) {}

AgentCore::AgentCore(const coordination::Clock& clock,
                     AgentLimits limits,
                     AgentOutputs& outputs,
                     runtime::Metrics& metrics)
    : impl_(
          std::make_unique<Impl>(clock, std::move(limits), outputs, metrics)) {}

AgentCore::~AgentCore() = default;

void AgentCore::OnDispatch(LinkNumber from, wire::Dispatch dispatch) {
  Impl& it = *impl_;
  const AttemptId id{wire::FromWire(dispatch.request_id), dispatch.attempt};
  auto known = it.streams.find(id.request_id);
  if (known != it.streams.end() && known->second.HasSeen(id.attempt)) {
    it.duplicates.Add();
    return;
  }
  if (known != it.streams.end() && !known->second.failed()) {
    it.AttachToExisting(from, id, known->second, dispatch);
    return;
  }
  const wire::Reason::type reason = it.CheckAdmission(id, dispatch);
  if (reason != wire::Reason::kNone) {
    it.RefuseAdmission(from, id, reason, dispatch);
    return;
  }
  std::vector<std::int32_t> earlier_attempts;
  if (known != it.streams.end()) {
    earlier_attempts = std::move(known->second.attempts);
    it.Erase(known);
  }
  it.rules.Admit(dispatch);
  it.Enqueue(from, id, std::move(dispatch), std::move(earlier_attempts));
  it.StartReadyCalls();
}

void AgentCore::OnCancel(LinkNumber from, const wire::Cancel& cancel) {
  Impl& it = *impl_;
  const AttemptId id{wire::FromWire(cancel.request_id), cancel.attempt};
  wire::CancelResult result;
  result.request_id = cancel.request_id;
  result.attempt = cancel.attempt;
  result.outcome = it.Revoke(id);
  result.incarnation = it.limits.incarnation;
  it.CancelRunning(from, id);
  it.outputs.Reply(from, result);
}

void AgentCore::OnAttach(LinkNumber from, const wire::Attach& attach) {
  Impl& it = *impl_;
  const AttemptId id{wire::FromWire(attach.request_id), attach.attempt};
  auto known = it.streams.find(id.request_id);
  if (known == it.streams.end() ||
      known->second.dispatch.organisation != attach.organisation ||
      !known->second.Covers(attach.position)) {
    it.RefuseNotRun(from, id, wire::Reason::kNoSuchStream, "");
    return;
  }
  if (known->second.HasSeen(id.attempt)) {
    it.duplicates.Add();
    return;
  }
  known->second.Attach(from, id.attempt, attach.position);
  known->second.Forward(it.outputs);
}

void AgentCore::OnCredit(LinkNumber from, const wire::StreamCredit& credit) {
  Impl& it = *impl_;
  auto known = it.streams.find(wire::FromWire(credit.request_id));
  if (known == it.streams.end() || known->second.link != from ||
      known->second.link_attempt != credit.attempt) {
    return;
  }
  Stream& stream = known->second;
  stream.credit = std::max(stream.credit, credit.position);
  stream.Forward(it.outputs);
}

void AgentCore::OnLinkClosed(LinkNumber link) {
  for (auto& [id, stream] : impl_->streams) {
    if (stream.link == link) {
      stream.link = 0;
      stream.detached_since = impl_->clock.Now();
    }
  }
}

void AgentCore::OnBackendEvent(BackendEvent event) {
  Impl& it = *impl_;
  auto known = it.streams.find(event.id.request_id);
  if (known == it.streams.end() || known->second.id != event.id ||
      !known->second.state.Is("running")) {
    it.late_events.Add();
    return;
  }
  Stream& stream = known->second;
  std::visit(
      [&](auto what) {
        using T = decltype(what);
        if constexpr (std::is_same_v<T, BackendHead>) {
          it.OnHead(stream, std::move(what));
        } else if constexpr (std::is_same_v<T, BackendData>) {
          it.OnData(stream, std::move(what));
        } else if constexpr (std::is_same_v<T, BackendEnd>) {
          it.OnEnd(stream, what);
        } else {
          it.OnFailure(stream, what);
        }
      },
      std::move(event.what));
  auto remaining = it.streams.find(event.id.request_id);
  if (remaining != it.streams.end()) {
    remaining->second.last_progress = it.clock.Now();
  }
  it.StartReadyCalls();
}

void AgentCore::OnCacheEvent(const CacheEvent& event) {
  Impl& it = *impl_;
  if (const auto* started = std::get_if<EngineStarted>(&event)) {
    it.cache.Reset(started->incarnation, started->weights_version);
  } else if (std::holds_alternative<EngineLost>(event)) {
    it.cache.Reset(0, 0);
  } else if (const auto* removed = std::get_if<BlockRemoved>(&event)) {
    it.cache.Remove(removed->block);
  } else if (const auto* stored = std::get_if<BlockStored>(&event)) {
    auto known = it.streams.find(stored->request_id);
    if (known == it.streams.end()) {
      return;
    }
    const auto& keys = known->second.dispatch.prefix_keys;
    if (stored->piece >= 0 &&
        static_cast<std::size_t>(stored->piece) < keys.size()) {
      it.cache.Store(stored->block,
                     static_cast<std::uint64_t>(
                         keys[static_cast<std::size_t>(stored->piece)]));
    }
  }
}

void AgentCore::OnClaimAnswer(const ClaimAnswer& answer) {
  Impl& it = *impl_;
  auto known = it.streams.find(answer.id.request_id);
  PG_CHECK(known != it.streams.end());
  Stream& stream = known->second;
  PG_CHECK(stream.state.Is("claiming"));
  if (stream.revoked) {
    it.AbandonClaim(stream, answer.outcome);
    it.StartReadyCalls();
    return;
  }
  switch (answer.outcome) {
    case ClaimOutcome::kClaimed:
      it.OnClaimed(stream);
      break;
    case ClaimOutcome::kReplay:
    case ClaimOutcome::kKeyReused:
      it.AnswerFromRecord(stream, answer.record);
      break;
    case ClaimOutcome::kUnfinished:
      it.scheduler.Finish(stream.id.request_id, 0);
      it.End(stream, wire::Outcome::kUnknown, wire::Reason::kInProgress,
             "an earlier attempt with this key has not ended", {});
      break;
    case ClaimOutcome::kPlatformDown:
      it.FinishNotRun(stream, wire::Reason::kPlatformDown,
                      "the claim could not be made");
      break;
  }
  it.StartReadyCalls();
}

wire::ProbeReply AgentCore::Probe(const wire::ProbeRequest& request) const {
  const Impl& it = *impl_;
  wire::ProbeReply reply;
  reply.probe_id = request.probe_id;
  reply.engine_incarnation = it.cache.incarnation();
  reply.weights_version = it.cache.weights_version();
  reply.held_pieces = it.cache.HeldPieces(request.prefix_keys);
  it.scheduler.FillProbeReply(request, reply);
  reply.leaving = it.leaving;
  return reply;
}

void AgentCore::StartLeaving() {
  impl_->leaving = true;
}

void AgentCore::StopLeaving() {
  impl_->leaving = false;
}

void AgentCore::FollowRules(const coordination::ConfigurationFollower& rules) {
  impl_->rules.Follow(rules);
}

wire::ShareReport AgentCore::EndServicePeriod() {
  impl_->scheduler.TakeShareReport();
  return impl_->scheduler.RecentService();
}

void AgentCore::OnRemoteService(const wire::ShareReport& report) {
  impl_->scheduler.OnShareReport(report);
}

void AgentCore::Tick() {
  Impl& it = *impl_;
  const TimePoint now = it.clock.Now();
  for (auto known = it.streams.begin(); known != it.streams.end();) {
    const Stream& stream = known->second;
    const bool is_expired = stream.state.Is("ended") &&
                            now - stream.ended > it.limits.ended_retention;
    known = is_expired ? it.Erase(known) : std::next(known);
  }
  for (auto& [id, stream] : it.streams) {
    if (stream.link == 0 && stream.state.Is("running") &&
        stream.dispatch.repeatable &&
        now - stream.detached_since > it.limits.detached_grace) {
      it.outputs.SendBackend(BackendCancel{stream.id});
      stream.detached_since = now;
    }
  }
  it.EnforceRetention();
  it.StartReadyCalls();
}

std::unordered_set<LinkNumber> AgentCore::AttachedLinks() const {
  std::unordered_set<LinkNumber> links;
  for (const auto& [id, stream] : impl_->streams) {
    if (stream.link != 0 && !stream.end_sent) {
      links.insert(stream.link);
    }
  }
  return links;
}

bool AgentCore::idle() const {
  const Impl& it = *impl_;
  return it.scheduler.in_flight() == 0 && it.scheduler.waiting() == 0 &&
         std::none_of(it.streams.begin(), it.streams.end(),
                      [](const auto& entry) { return entry.second.unread(); });
}

}  // namespace peridotgate::agent
