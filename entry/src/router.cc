#include "entry/router.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "attempt_runner.h"
#include "call_relay.h"
#include "call_state.h"
#include "canceller.h"
#include "fleet.h"
#include "quarantined_parts.h"
#include "revoker.h"
#include "second_attempts.h"
#include "selector.h"

namespace peridotgate::entry {
namespace {

using coordination::Duration;

constexpr std::chrono::milliseconds kDelayBetweenAttempts{5};
constexpr std::chrono::milliseconds kDelayBeforeRetryingAll{100};
constexpr std::chrono::milliseconds kInProgressRetryDelay{250};
constexpr std::int32_t kAttemptNumberMask = 0x3fffffff;

// Whether every other server would refuse for the same reason.
bool IsFinal(wire::Reason::type reason) {
  return reason == wire::Reason::kKeyReused ||
         reason == wire::Reason::kPlatformDown ||
         reason == wire::Reason::kRevoked ||
         reason == wire::Reason::kStaleRules ||
         reason == wire::Reason::kInProgress ||
         reason == wire::Reason::kQuarantinedPart;
}

}  // namespace

struct Router::Impl {
  Impl(runtime::Duty& duty,
       const coordination::Clock& clock,
       runtime::Port<CallEvent>& events,
       runtime::Port<NewerRules>& newer_rules,
       BurnLog& burn,
       runtime::Metrics& metrics)
      : duty(duty),
        clock(clock),
        newer_rules(newer_rules),
        burn(burn),
        fleet(duty, metrics),
        selector(fleet, clock, metrics),
        canceller(duty, fleet, metrics),
        second_attempts(fleet, canceller, clock, metrics),
        relay(events, metrics),
        revoker(duty, fleet, canceller, metrics),
        runner(duty,
               clock,
               {fleet, selector, second_attempts, relay, canceller, revoker},
               metrics) {}

  runtime::Duty& duty;
  const coordination::Clock& clock;
  runtime::Port<NewerRules>& newer_rules;
  BurnLog& burn;
  Fleet fleet;
  Selector selector;
  Canceller canceller;
  SecondAttempts second_attempts;
  CallRelay relay;
  Revoker revoker;
  AttemptRunner runner;
  QuarantinedParts quarantined;
  std::unordered_map<Id128, std::shared_ptr<CallState>> calls;

  asio::awaitable<void> Pause(std::chrono::microseconds time) {
    asio::steady_timer timer(duty.context(), time);
    co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
  }

  asio::awaitable<void> Run(std::shared_ptr<CallState> state) {
    calls[state->call.request_id] = state;
    co_await Route(*state);
    auto it = calls.find(state->call.request_id);
    if (it != calls.end() && it->second == state) {
      calls.erase(it);
    }
  }

  asio::awaitable<void> Route(CallState& state) {
    if (state.call.resume && co_await runner.ResumeStream(state)) {
      co_return;
    }
    selector.OnCall(state.call);
    second_attempts.OnCall(state.call);
    while (state.attempts < kMaxAttempts && !state.dropped &&
           !IsRefusedForAPart(state)) {
      auto selected = co_await selector.Select(state.call, state.refused_by);
      if (!selected && MayRetryAllServers(state)) {
        ++state.attempts;
        state.refused_by.clear();
        co_await Pause(kDelayBeforeRetryingAll);
        continue;
      }
      if (!selected) {
        break;
      }
      const AttemptResult result = co_await runner.RunAttempt(state, *selected);
      RequestNewerRules(state, selected->agent);
      if (result == AttemptResult::kFinished ||
          result == AttemptResult::kDropped) {
        co_return;
      }
      burn.OnAttemptLost(selected->agent);
      if (!co_await ShouldRetry(state, result, selected->instance)) {
        break;
      }
    }
    if (!state.dropped) {
      ReportFailure(state);
    }
  }

  // Whether servers crash on a part of the call, which must not reach them
  // then.
  bool IsRefusedForAPart(CallState& state) const {
    const wire::Dispatch& dispatch = state.call.dispatch;
    const Duration left = quarantined.TimeLeft(dispatch.part_keys, clock.Now());
    if (left <= Duration(0)) {
      return false;
    }
    wire::Refusal& refusal = state.last_refusal.emplace();
    refusal.outcome = wire::Outcome::kNotRun;
    refusal.reason = wire::Reason::kQuarantinedPart;
    refusal.detail = "servers crashed on a part of it";
    refusal.retry_after_ms =
        std::chrono::ceil<std::chrono::milliseconds>(left).count();
    return true;
  }

  // If the agent refused the call because this entry's rules are older, makes
  // the entry fetch the newer rules from that agent.
  void RequestNewerRules(const CallState& state,
                         const runtime::Endpoint& agent) {
    if (state.last_refusal &&
        state.last_refusal->reason == wire::Reason::kStaleRules) {
      newer_rules.TrySend(
          NewerRules{agent, state.last_refusal->config_version});
    }
  }

  // Whether to retry servers that already refused or failed: all were tried and
  // at least one attempt was lost, so its server may be available again.
  static bool MayRetryAllServers(const CallState& state) {
    return state.call.dispatch.repeatable && state.may_have_run &&
           !state.refused_by.empty();
  }

  // Whether to make another attempt. Even a call that is not repeatable may be
  // sent again after a lost link: the claim on its idempotency key lets only
  // one attempt run.
  asio::awaitable<bool> ShouldRetry(CallState& state,
                                    AttemptResult result,
                                    const std::string& instance) {
    state.may_have_run = state.may_have_run || result == AttemptResult::kBroken;
    const auto reason =
        state.last_refusal ? state.last_refusal->reason : wire::Reason::kNone;
    if (reason == wire::Reason::kInProgress && state.may_have_run) {
      state.refused_by.clear();
      co_await Pause(kInProgressRetryDelay);
      co_return true;
    }
    if (IsFinal(reason)) {
      co_return false;
    }
    if (!selector.MayRetry(state.call, state.last_refusal) &&
        !state.head_relayed) {
      co_return false;
    }
    if (reason != wire::Reason::kStaleCache) {
      state.refused_by.insert(instance);
    }
    co_await Pause(kDelayBetweenAttempts);
    co_return true;
  }

  // Reports that all attempts failed, with the reason of the last refusal and
  // the outcome over all attempts.
  void ReportFailure(const CallState& state) {
    if (state.head_relayed) {
      relay.FailCall(state, wire::Outcome::kUnknown,
                     wire::Reason::kBackendFailed,
                     "no server could go on with the answer");
      return;
    }
    if (state.last_refusal) {
      const wire::Refusal& it = *state.last_refusal;
      relay.FailCall(state, state.OverallOutcome(it.outcome), it.reason,
                     it.detail);
      return;
    }
    relay.FailCall(state, state.OverallOutcome(wire::Outcome::kNotRun),
                   wire::Reason::kNoBackend,
                   "no server of " + state.call.dispatch.target + " answers");
  }

  void GrantCredit(const CallConsumed& consumed) {
    auto it = calls.find(consumed.request_id);
    if (it != calls.end()) {
      runner.GrantCredit(*it->second, consumed.position);
    }
  }

  void MarkDropped(const Id128& id) {
    auto it = calls.find(id);
    if (it == calls.end()) {
      return;
    }
    it->second->dropped = true;
    if (it->second->active) {
      it->second->active->inbox->Put(AttemptEvent{std::nullopt, true});
    }
  }
};

Router::Router(runtime::Duty& duty,
               const coordination::Clock& clock,
               runtime::Port<CallEvent>& events,
               runtime::Port<NewerRules>& newer_rules,
               BurnLog& burn,
               runtime::Metrics& metrics)
    : impl_(std::make_unique<Impl>(duty,
                                   clock,
                                   events,
                                   newer_rules,
                                   burn,
                                   metrics)) {}

Router::~Router() = default;

bool Router::Listen(const runtime::Endpoint& peers, std::string& error) {
  return impl_->fleet.Listen(peers, error);
}

void Router::OnCommand(RouterCommand command) {
  if (auto* drop = std::get_if<DropCall>(&command)) {
    impl_->MarkDropped(drop->request_id);
    return;
  }
  if (auto* consumed = std::get_if<CallConsumed>(&command)) {
    impl_->GrantCredit(*consumed);
    return;
  }
  auto state = std::make_shared<CallState>();
  state->base_attempt_number =
      static_cast<std::int32_t>(coordination::NewId().low & kAttemptNumberMask);
  state->call = std::move(std::get<RouteCall>(command));
  state->deadline =
      impl_->clock.Now() + Duration(state->call.dispatch.wait_limit_us);
  asio::co_spawn(impl_->duty.context(), impl_->Run(std::move(state)),
                 asio::detached);
}

std::string Router::Explain(const Id128& request_id) const {
  return impl_->selector.Explain(request_id);
}

std::string Router::Samples() const {
  return impl_->selector.Samples();
}

void Router::OnClusterView(const ClusterView& view) {
  impl_->fleet.Update(*view.instances);
  impl_->quarantined.Update(*view.quarantines);
}

}  // namespace peridotgate::entry
