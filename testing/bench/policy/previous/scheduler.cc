#include "bench/policy/previous/scheduler.h"

#include <algorithm>
#include <unordered_map>

#include "bench/policy/previous/fair_queue.h"
#include "coordination/check.h"

namespace peridotgate::bench::previous {
namespace {

using coordination::Duration;
using coordination::Id128;
using coordination::TimePoint;

// Weight of a new observation in a moving average.
constexpr double kSmoothing = 0.2;
// Estimates of the server's speed until the first observation.
constexpr Duration kInitialPrefillPerPiece{50000};
constexpr Duration kInitialService{20000};

void Smooth(Duration& average, Duration seen) {
  const double next = (1 - kSmoothing) * static_cast<double>(average.count()) +
                      kSmoothing * static_cast<double>(seen.count());
  average = Duration(static_cast<std::int64_t>(next));
}

struct Running {
  ScheduledCall call;
  TimePoint handed_over;
  TimePoint last_output;
  bool has_output = false;
};

}  // namespace

struct Scheduler::Contents {
  const coordination::Clock& clock;
  SchedulerLimits limits;
  FairQueue<ScheduledCall> queue;
  std::unordered_map<Id128, std::string> flow_of_waiting;
  std::unordered_map<Id128, Running> running;
  Duration service = kInitialService;
  Duration first_token = kInitialService;
  Duration token_gap{0};

  Duration QueueWait() const {
    const auto waiting = static_cast<std::int64_t>(queue.size());
    const auto busy = static_cast<std::int64_t>(running.size());
    if (busy + waiting < limits.slots) {
      return Duration(0);
    }
    return service * (waiting + 1) / limits.slots;
  }

  // The longest time since the last output of any running call.
  Duration Stalled() const {
    Duration longest{0};
    for (const auto& [id, it] : running) {
      longest = std::max(longest, clock.Now() - it.last_output);
    }
    return longest;
  }
};

Scheduler::Scheduler(const coordination::Clock& clock, SchedulerLimits limits)
    : contents_(new Contents{clock, limits, {}, {}, {}}) {}

Scheduler::~Scheduler() = default;

wire::Reason::type Scheduler::Admit(const ScheduledCall& call) const {
  if (contents_->queue.size() >= contents_->limits.queued) {
    return wire::Reason::kQueueFull;
  }
  if (contents_->QueueWait() > call.wait_limit) {
    return wire::Reason::kWaitLimit;
  }
  return wire::Reason::kNone;
}

void Scheduler::Push(ScheduledCall call) {
  contents_->flow_of_waiting[call.request_id] = call.organisation;
  const std::string flow = call.organisation;
  const double weight = call.weight;
  const double cost = call.cost;
  contents_->queue.Push(flow, weight, cost, std::move(call));
}

std::optional<ScheduledCall> Scheduler::Next() {
  Contents& it = *contents_;
  if (static_cast<std::int32_t>(it.running.size()) >= it.limits.slots) {
    return std::nullopt;
  }
  auto next = it.queue.Pop();
  if (!next) {
    return std::nullopt;
  }
  const ScheduledCall& call = next->element;
  it.flow_of_waiting.erase(call.request_id);
  const TimePoint now = it.clock.Now();
  it.running[call.request_id] = {call, now, now, false};
  return std::move(next->element);
}

bool Scheduler::Remove(const Id128& id) {
  auto flow = contents_->flow_of_waiting.find(id);
  if (flow == contents_->flow_of_waiting.end()) {
    return false;
  }
  auto removed = contents_->queue.Remove(
      flow->second,
      [&](const ScheduledCall& other) { return other.request_id == id; });
  PG_CHECK(removed.has_value());
  contents_->flow_of_waiting.erase(flow);
  return true;
}

void Scheduler::OnHandedOver(const Id128& id) {
  auto it = contents_->running.find(id);
  PG_CHECK(it != contents_->running.end());
  it->second.handed_over = contents_->clock.Now();
  it->second.last_output = it->second.handed_over;
}

void Scheduler::OnOutput(const Id128& id) {
  auto it = contents_->running.find(id);
  PG_CHECK(it != contents_->running.end());
  const Duration taken = contents_->clock.Now() - it->second.last_output;
  Smooth(it->second.has_output ? contents_->token_gap : contents_->first_token,
         taken);
  it->second.has_output = true;
  it->second.last_output = contents_->clock.Now();
}

void Scheduler::Finish(const Id128& id, double cost) {
  auto it = contents_->running.find(id);
  PG_CHECK(it != contents_->running.end());
  const Running& done = it->second;
  contents_->queue.Correct(done.call.organisation, cost - done.call.cost);
  if (cost > 0) {
    Smooth(contents_->service, contents_->clock.Now() - done.handed_over);
  }
  contents_->running.erase(it);
}

Duration Scheduler::QueueWait(const std::string& /*organisation*/) const {
  return contents_->QueueWait();
}

void Scheduler::Describe(const wire::ProbeRequest& request,
                         wire::ProbeReply& reply) const {
  reply.in_flight = in_flight();
  reply.queued = static_cast<std::int32_t>(waiting());
  const Duration wait = QueueWait(request.organisation) + contents_->Stalled();
  reply.wait_us = wait.count();
  reply.prefill_us_per_piece = kInitialPrefillPerPiece.count();
}

std::size_t Scheduler::waiting() const {
  return contents_->queue.size();
}

std::int32_t Scheduler::in_flight() const {
  return static_cast<std::int32_t>(contents_->running.size());
}

}  // namespace peridotgate::bench::previous
