#include "selector.h"

#include <algorithm>
#include <functional>
#include <span>
#include <vector>

#include "coordination/retry_budget.h"
#include "decision_log.h"
#include "routing/server_policy.h"

namespace peridotgate::entry {
namespace {

constexpr std::chrono::microseconds kProbeTimeout{20000};

using routing::ChoiceReason;
using routing::SeatIndex;

// The seats of `instances`, the servers to exclude from the selection.
std::vector<SeatIndex> SeatsOf(const TargetGroup& group,
                               const std::set<std::string>& instances) {
  std::vector<SeatIndex> seats;
  if (instances.empty()) {
    return seats;
  }
  for (SeatIndex i = 0; i < group.seats.size(); ++i) {
    if (instances.contains(group.seats[i].instance)) {
      seats.push_back(i);
    }
  }
  return seats;
}

// Whether `reason` concerns one server only, and does not indicate that the
// servers are overloaded.
bool IsServerSpecific(wire::Reason::type reason) {
  return reason == wire::Reason::kLeaving ||
         reason == wire::Reason::kStaleCache ||
         reason == wire::Reason::kStaleRules;
}

wire::ProbeRequest MakeProbe(const RouteCall& call) {
  const wire::Dispatch& it = call.dispatch;
  wire::ProbeRequest probe;
  probe.organisation = it.organisation;
  probe.prefix_keys = it.prefix_keys;
  probe.prompt_tokens = it.prompt_tokens;
  return probe;
}

std::vector<routing::ProbedServer> ArrangedServers(
    std::span<const ProbeAnswer> answers,
    std::span<const SeatIndex> probed_seats) {
  std::vector<routing::ProbedServer> servers;
  for (const ProbeAnswer& it : answers) {
    servers.push_back(it.server);
  }
  routing::Arrange(servers, probed_seats);
  return servers;
}

SelectedServer MakeSelected(const TargetGroup& group,
                            std::span<const ProbeAnswer> answers,
                            const routing::Choice& choice) {
  const BackendSeat& seat = group.seats[choice.seat];
  SelectedServer selected{seat.agent, seat.instance,    0,
                          0,          choice.predicted, choice.priority};
  for (const ProbeAnswer& it : answers) {
    if (it.server.seat == choice.seat) {
      selected.engine_incarnation = it.engine_incarnation;
      selected.weights_version = it.weights_version;
    }
  }
  return selected;
}

}  // namespace

struct Selector::Impl {
  Impl(Fleet& fleet,
       const coordination::Clock& clock,
       runtime::Metrics& metrics)
      : fleet(fleet),
        metrics(metrics),
        policy(clock),
        widened(metrics.GetCounter("peridotgate_entry_widened_total")),
        unprobed_choices(
            metrics.GetCounter("peridotgate_entry_unprobed_total")),
        denied_retries(
            metrics.GetCounter("peridotgate_entry_unretried_total")) {}

  Fleet& fleet;
  runtime::Metrics& metrics;
  routing::ServerPolicy policy;
  coordination::RetryBudget budget;
  DecisionLog log;
  runtime::Counter& widened;
  runtime::Counter& unprobed_choices;
  runtime::Counter& denied_retries;

  void CountChoice(ChoiceReason reason) {
    metrics
        .GetCounter("peridotgate_entry_choices_total",
                    {{"reason", routing::ReasonName(reason)}})
        .Add();
  }

  void Record(const RouteCall& call,
              const TargetGroup& group,
              const routing::RouteQuery& query,
              std::size_t probed_count,
              std::span<const routing::ProbedServer> servers,
              const std::optional<routing::Decision>& decision) {
    DecisionRecord record;
    record.request_id = call.request_id;
    record.target = call.dispatch.target;
    record.pieces = query.chain.size();
    record.probed_count = probed_count;
    if (decision) {
      record.chosen = group.seats[decision->choice.seat].instance;
      record.reason = decision->reason;
    }
    for (const routing::ProbedServer& it : servers) {
      record.considered.push_back({group.seats[it.seat].instance, it,
                                   routing::PredictFirstToken(it, query)});
    }
    log.Add(std::move(record));
  }
};

Selector::Selector(Fleet& fleet,
                   const coordination::Clock& clock,
                   runtime::Metrics& metrics)
    : impl_(std::make_unique<Impl>(fleet, clock, metrics)) {}

Selector::~Selector() = default;

asio::awaitable<std::optional<SelectedServer>> Selector::Select(
    const RouteCall& call,
    const std::set<std::string>& refused_by) {
  Impl& impl = *impl_;
  const wire::Dispatch& dispatch = call.dispatch;
  auto group = impl.fleet.Find(dispatch.target);
  if (!group || group->seats.empty()) {
    co_return std::nullopt;
  }
  const std::vector<routing::PrefixKey> chain(dispatch.prefix_keys.begin(),
                                              dispatch.prefix_keys.end());
  const routing::RouteQuery query{
      chain, call.request_id.low, std::hash<std::string>()(dispatch.target),
      dispatch.prompt_tokens, dispatch.output_tokens};
  const auto excluded = SeatsOf(*group, refused_by);
  auto probed_seats = impl.policy.Plan(group->placement, query, excluded);
  if (probed_seats.empty()) {
    co_return std::nullopt;
  }
  const wire::ProbeRequest probe = MakeProbe(call);
  auto answers =
      co_await impl.fleet.Probe(*group, probed_seats, probe, kProbeTimeout);
  auto servers = ArrangedServers(answers, probed_seats);
  const auto extra_seats =
      impl.policy.Widen(group->placement, query, servers, excluded);
  if (!extra_seats.empty()) {
    impl.widened.Add();
    auto extra_answers =
        co_await impl.fleet.Probe(*group, extra_seats, probe, kProbeTimeout);
    answers.insert(answers.end(), extra_answers.begin(), extra_answers.end());
    probed_seats.insert(probed_seats.end(), extra_seats.begin(),
                        extra_seats.end());
    servers = ArrangedServers(answers, probed_seats);
  }
  if (answers.empty()) {
    // No probe was answered. Try the first server anyway: its agent refuses
    // calls that it can't accept.
    impl.unprobed_choices.Add();
    co_return MakeSelected(*group, answers, {probed_seats.front(), {}});
  }
  const auto decision = impl.policy.Decide(servers, query);
  impl.Record(call, *group, query, probed_seats.size(), servers, decision);
  if (!decision) {
    co_return std::nullopt;
  }
  impl.CountChoice(decision->reason);
  co_return MakeSelected(*group, answers, decision->choice);
}

void Selector::OnCall(const RouteCall& call) {
  impl_->budget.OnRequest(call.dispatch.organisation);
}

bool Selector::MayRetry(const RouteCall& call,
                        const std::optional<wire::Refusal>& refusal) {
  if (refusal && IsServerSpecific(refusal->reason)) {
    return true;
  }
  if (impl_->budget.TryRetry(call.dispatch.organisation)) {
    return true;
  }
  impl_->denied_retries.Add();
  return false;
}

std::string Selector::Explain(const Id128& request_id) const {
  return impl_->log.Explain(request_id);
}

std::string Selector::Samples() const {
  return impl_->log.Samples();
}

}  // namespace peridotgate::entry
