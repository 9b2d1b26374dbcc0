#include "entry/burn.h"

#include <algorithm>
#include <mutex>
#include <unordered_map>

#include <boost/json.hpp>

#include "burn_table.h"

namespace peridotgate::entry {
namespace {

namespace json = boost::json;
using coordination::TimePoint;

constexpr double kMsPerMicro = 0.001;
constexpr std::int32_t kServerError = 500;

// Reasons that are the caller's fault and are not charged to the error budget.
constexpr std::array<wire::Reason::type, 5> kCallerFaults = {
    wire::Reason::kKeyReused, wire::Reason::kInProgress,
    wire::Reason::kBadMessage, wire::Reason::kCancelled, wire::Reason::kLimit};

double MsBetween(TimePoint from, TimePoint to) {
  return kMsPerMicro * static_cast<double>((to - from).count());
}

// A call in progress.
struct OpenCall {
  KindSeries* kind = nullptr;
  // Objectives of the rules in force when the call started.
  std::int64_t first_token_ms = 0;
  std::int64_t token_gap_ms = 0;
  TimePoint started;
  TimePoint first_event;
  TimePoint last_event;
  std::int64_t events = 0;
  std::string server;
  std::int32_t status = 0;
};

bool IsLate(std::int64_t objective_ms, double ms) {
  return objective_ms > 0 && ms > static_cast<double>(objective_ms);
}

// Counts of a call that failed or was refused.
BurnCounts CountUnanswered(wire::Outcome::type outcome,
                           wire::Reason::type reason) {
  const bool is_caller_fault =
      std::find(kCallerFaults.begin(), kCallerFaults.end(), reason) !=
      kCallerFaults.end();
  const bool not_run = outcome == wire::Outcome::kNotRun;
  BurnCounts counts;
  counts.calls = 1;
  counts.bad = is_caller_fault ? 0 : 1;
  (not_run ? counts.refused : counts.failed) = counts.bad;
  // A newer agent may send reasons that this entry doesn't know.
  const auto bucket = static_cast<std::size_t>(reason);
  counts.reasons[bucket < counts.reasons.size() ? bucket : 0] = 1;
  return counts;
}

// Adds the latencies of an answered call to `counts`.
void CountTimes(const OpenCall& call, BurnCounts& counts) {
  const double first_event_ms = MsBetween(call.started, call.first_event);
  counts.first_ms[BucketOf(first_event_ms)] = 1;
  counts.late_first = IsLate(call.first_token_ms, first_event_ms) ? 1 : 0;
  if (call.events > 1) {
    const double gap = MsBetween(call.first_event, call.last_event) /
                       static_cast<double>(call.events - 1);
    counts.gap_ms[BucketOf(gap)] = 1;
    counts.late_gap = IsLate(call.token_gap_ms, gap) ? 1 : 0;
  }
}

BurnCounts CountEnd(const OpenCall& call, const CallEnd& end) {
  if (end.outcome != wire::Outcome::kRan) {
    return CountUnanswered(end.outcome, end.reason);
  }
  if (call.status >= kServerError) {
    return CountUnanswered(end.outcome, wire::Reason::kBackendFailed);
  }
  BurnCounts counts;
  counts.calls = 1;
  CountTimes(call, counts);
  counts.bad = counts.late_first + counts.late_gap > 0 ? 1 : 0;
  counts.cached_tokens = end.usage.cached_tokens;
  counts.prefill_tokens = end.usage.prefill_tokens;
  counts.output_tokens = end.usage.output_tokens;
  counts.cost = std::max<std::int64_t>(
      1, end.usage.prefill_tokens + end.usage.output_tokens);
  return counts;
}

}  // namespace

struct BurnLog::Impl {
  Impl(const coordination::Clock& clock, runtime::Metrics& metrics)
      : clock(clock), started(clock.Now()), table(metrics) {}

  const coordination::Clock& clock;
  TimePoint started;
  mutable std::mutex mutex;  // Guards the members below.
  BurnTable table;
  std::unordered_map<Id128, OpenCall> calls;

  std::chrono::microseconds age() const { return clock.Now() - started; }

  void Record(OpenCall& call, const BurnCounts& counts) {
    call.kind->series.Add(age(), counts);
    (counts.bad > 0 ? call.kind->bad : call.kind->good)->Add();
    if (!call.server.empty()) {
      table.AddServer(age(), call.server, counts);
    }
  }

  // Applies one event to `call`; true if it was the last.
  bool Apply(OpenCall& call, const CallEvent& event) {
    const TimePoint now = clock.Now();
    if (call.events == 0) {
      call.first_event = now;
    }
    if (const auto* head = std::get_if<CallHead>(&event.payload)) {
      call.server = runtime::ToString(head->agent);
      call.status = head->status;
    }
    if (std::holds_alternative<CallData>(event.payload)) {
      call.last_event = now;
      ++call.events;
    }
    if (const auto* refused = std::get_if<CallRefused>(&event.payload)) {
      Record(call, CountUnanswered(refused->outcome, refused->reason));
      return true;
    }
    if (const auto* end = std::get_if<CallEnd>(&event.payload)) {
      Record(call, CountEnd(call, *end));
      return true;
    }
    return false;
  }

  void Erase(std::unordered_map<Id128, OpenCall>::iterator it) {
    --it->second.kind->open_calls;
    calls.erase(it);
  }
};

BurnLog::BurnLog(const coordination::Clock& clock, runtime::Metrics& metrics)
    : impl_(std::make_unique<Impl>(clock, metrics)) {}

BurnLog::~BurnLog() = default;

void BurnLog::Begin(const RouteCall& call,
                    const wire::OrganisationRules& organisation) {
  const wire::KindRules* rules = FindKind(organisation, call.dispatch.kind);
  if (rules == nullptr) {
    return;
  }
  const std::lock_guard lock(impl_->mutex);
  OpenCall open;
  open.kind = &impl_->table.Find(impl_->age(), organisation, *rules);
  open.first_token_ms = rules->first_token_objective_ms;
  open.token_gap_ms = rules->token_gap_objective_ms;
  open.started = impl_->clock.Now();
  KindSeries& kind = *open.kind;
  if (impl_->calls.emplace(call.request_id, std::move(open)).second) {
    ++kind.open_calls;
  }
}

void BurnLog::OnEvent(const CallEvent& event) {
  const std::lock_guard lock(impl_->mutex);
  auto it = impl_->calls.find(event.request_id);
  if (it != impl_->calls.end() && impl_->Apply(it->second, event)) {
    impl_->Erase(it);
  }
}

void BurnLog::OnAttemptLost(const runtime::Endpoint& agent) {
  BurnCounts counts;
  counts.lost = 1;
  const std::lock_guard lock(impl_->mutex);
  impl_->table.AddServer(impl_->age(), runtime::ToString(agent), counts);
}

void BurnLog::End(const Id128& request) {
  const std::lock_guard lock(impl_->mutex);
  auto it = impl_->calls.find(request);
  if (it == impl_->calls.end()) {
    return;
  }
  // Without a head the call failed and is counted as bad. With a head the
  // caller disconnected, which is not counted.
  if (it->second.server.empty()) {
    CallEnd end{wire::Outcome::kUnknown, wire::Reason::kLateAnswer, "", {}};
    impl_->Record(it->second, CountEnd(it->second, end));
  }
  impl_->Erase(it);
}

std::string BurnLog::ToJson(std::string_view instance,
                            std::int64_t rules_version,
                            const BurnWindow& window) const {
  const auto age = impl_->age();
  json::object all;
  all["instance"] = instance;
  all["rules_version"] = rules_version;
  all["uptime_s"] =
      std::chrono::duration_cast<std::chrono::seconds>(age).count();
  all["window"] = window.name;
  json::array windows;
  for (const BurnWindow& it : kBurnWindows) {
    windows.emplace_back(it.length.count());
  }
  all["windows_s"] = std::move(windows);
  {
    const std::lock_guard lock(impl_->mutex);
    all["kinds"] = impl_->table.KindsToJson(age, window);
    all["servers"] = impl_->table.ServersToJson(age, window);
  }
  return json::serialize(all);
}

}  // namespace peridotgate::entry
