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
  Impl& impl = *impl_;
  const AttemptId id{wire::FromWire(dispatch.request_id), dispatch.attempt};
  auto found = impl.streams.find(id.request_id);
  if (found != impl.streams.end() && found->second.HasSeen(id.attempt)) {
    impl.duplicates.Add();
    return;
  }
  if (found != impl.streams.end() && !found->second.failed()) {
    impl.AttachToExisting(from, id, found->second, dispatch);
    return;
  }
  const wire::Reason::type reason = impl.CheckAdmission(id, dispatch);
  if (reason != wire::Reason::kNone) {
    impl.RefuseAdmission(from, id, reason, dispatch);
    return;
  }
  std::vector<std::int32_t> earlier_attempts;
  if (found != impl.streams.end()) {
    earlier_attempts = std::move(found->second.attempts);
    impl.Erase(found);
  }
  impl.rules.Admit(dispatch);
  impl.Enqueue(from, id, std::move(dispatch), std::move(earlier_attempts));
  impl.StartReadyCalls();
}

void AgentCore::OnCancel(LinkNumber from, const wire::Cancel& cancel) {
  Impl& impl = *impl_;
  const AttemptId id{wire::FromWire(cancel.request_id), cancel.attempt};
  wire::CancelResult result;
  result.request_id = cancel.request_id;
  result.attempt = cancel.attempt;
  result.outcome = impl.Revoke(id);
  result.incarnation = impl.limits.incarnation;
  impl.CancelRunning(from, id);
  impl.outputs.Reply(from, result);
}

void AgentCore::OnAttach(LinkNumber from, const wire::Attach& attach) {
  Impl& impl = *impl_;
  const AttemptId id{wire::FromWire(attach.request_id), attach.attempt};
  auto found = impl.streams.find(id.request_id);
  if (found == impl.streams.end() ||
      found->second.dispatch.organisation != attach.organisation ||
      !found->second.Covers(attach.position)) {
    impl.RefuseNotRun(from, id, wire::Reason::kNoSuchStream, "");
    return;
  }
  if (found->second.HasSeen(id.attempt)) {
    impl.duplicates.Add();
    return;
  }
  found->second.Attach(from, id.attempt, attach.position);
  found->second.Forward(impl.outputs);
}

void AgentCore::OnCredit(LinkNumber from, const wire::StreamCredit& credit) {
  Impl& impl = *impl_;
  auto found = impl.streams.find(wire::FromWire(credit.request_id));
  if (found == impl.streams.end() || found->second.link != from ||
      found->second.link_attempt != credit.attempt) {
    return;
  }
  Stream& stream = found->second;
  stream.credit = std::max(stream.credit, credit.position);
  stream.Forward(impl.outputs);
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
  Impl& impl = *impl_;
  auto found = impl.streams.find(event.id.request_id);
  if (found == impl.streams.end() || found->second.id != event.id ||
      !found->second.state.Is("running")) {
    impl.late_events.Add();
    return;
  }
  Stream& stream = found->second;
  std::visit(
      [&](auto what) {
        using T = decltype(what);
        if constexpr (std::is_same_v<T, BackendHead>) {
          impl.OnHead(stream, std::move(what));
        } else if constexpr (std::is_same_v<T, BackendData>) {
          impl.OnData(stream, std::move(what));
        } else if constexpr (std::is_same_v<T, BackendEnd>) {
          impl.OnEnd(stream, what);
        } else {
          impl.OnFailure(stream, what);
        }
      },
      std::move(event.what));
  auto remaining = impl.streams.find(event.id.request_id);
  if (remaining != impl.streams.end()) {
    remaining->second.last_progress = impl.clock.Now();
  }
  impl.StartReadyCalls();
}

void AgentCore::OnCacheEvent(const CacheEvent& event) {
  Impl& impl = *impl_;
  if (const auto* started = std::get_if<EngineStarted>(&event)) {
    impl.cache.Reset(started->incarnation, started->weights_version);
  } else if (std::holds_alternative<EngineLost>(event)) {
    impl.cache.Reset(0, 0);
  } else if (const auto* removed = std::get_if<BlockRemoved>(&event)) {
    impl.cache.Remove(removed->block);
  } else if (const auto* stored = std::get_if<BlockStored>(&event)) {
    auto found = impl.streams.find(stored->request_id);
    if (found == impl.streams.end()) {
      return;
    }
    const auto& keys = found->second.dispatch.prefix_keys;
    if (stored->piece >= 0 &&
        static_cast<std::size_t>(stored->piece) < keys.size()) {
      impl.cache.Store(stored->block,
                       static_cast<std::uint64_t>(
                           keys[static_cast<std::size_t>(stored->piece)]));
    }
  }
}

void AgentCore::OnClaimAnswer(const ClaimAnswer& answer) {
  Impl& impl = *impl_;
  auto found = impl.streams.find(answer.id.request_id);
  PG_CHECK(found != impl.streams.end());
  Stream& stream = found->second;
  PG_CHECK(stream.state.Is("claiming"));
  if (stream.revoked) {
    impl.AbandonClaim(stream, answer.outcome);
    impl.StartReadyCalls();
    return;
  }
  switch (answer.outcome) {
    case ClaimOutcome::kClaimed:
      impl.OnClaimed(stream);
      break;
    case ClaimOutcome::kReplay:
    case ClaimOutcome::kKeyReused:
      impl.AnswerFromRecord(stream, answer.record);
      break;
    case ClaimOutcome::kUnfinished:
      impl.scheduler.Finish(stream.id.request_id, 0);
      impl.End(stream, wire::Outcome::kUnknown, wire::Reason::kInProgress,
               "an earlier attempt with this key has not ended", {});
      break;
    case ClaimOutcome::kPlatformDown:
      impl.FinishNotRun(stream, wire::Reason::kPlatformDown,
                        "the claim could not be made");
      break;
  }
  impl.StartReadyCalls();
}

wire::ProbeReply AgentCore::Probe(const wire::ProbeRequest& request) const {
  const Impl& impl = *impl_;
  wire::ProbeReply reply;
  reply.probe_id = request.probe_id;
  reply.engine_incarnation = impl.cache.incarnation();
  reply.weights_version = impl.cache.weights_version();
  reply.held_pieces = impl.cache.HeldPieces(request.prefix_keys);
  impl.scheduler.Describe(request, reply);
  reply.leaving = impl.leaving;
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
  Impl& impl = *impl_;
  const TimePoint now = impl.clock.Now();
  for (auto it = impl.streams.begin(); it != impl.streams.end();) {
    const Stream& stream = it->second;
    const bool is_expired = stream.state.Is("ended") &&
                            now - stream.ended > impl.limits.ended_retention;
    it = is_expired ? impl.Erase(it) : std::next(it);
  }
  for (auto& [id, stream] : impl.streams) {
    if (stream.link == 0 && stream.state.Is("running") &&
        stream.dispatch.repeatable &&
        now - stream.detached_since > impl.limits.detached_grace) {
      impl.outputs.SendBackend(BackendCancel{stream.id});
      stream.detached_since = now;
    }
  }
  impl.EnforceRetention();
  impl.StartReadyCalls();
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
  const Impl& impl = *impl_;
  return impl.scheduler.in_flight() == 0 && impl.scheduler.waiting() == 0 &&
         std::none_of(
             impl.streams.begin(), impl.streams.end(),
             [](const auto& entry) { return entry.second.has_unsent_end(); });
}

}  // namespace peridotgate::agent
