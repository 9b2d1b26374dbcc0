#include "call_queue.h"

#include <algorithm>

#include "coordination/check.h"

namespace peridotgate::agent {
namespace {

// Maximum debt that an idle organisation keeps for earlier work, in tokens.
constexpr double kMaxDebt = 20000;

}  // namespace

CallQueue::CallQueue() : organisations_(kMaxDebt) {}

void CallQueue::Push(ScheduledCall call) {
  Kinds& kinds = kinds_.try_emplace(call.organisation, kMaxDebt).first->second;
  queued_calls_[call.request_id] = {call.organisation, call.kind, call.cost};
  waiting_cost_ += call.cost;
  organisations_.Push(call.organisation, call.weight, call.cost, 0);
  const std::string kind = call.kind;
  const double cost = call.cost;
  kinds.Push(kind, 1, cost, std::move(call));
}

std::optional<ScheduledCall> CallQueue::Pop() {
  auto organisation = organisations_.Pop();
  if (!organisation) {
    return std::nullopt;
  }
  auto entry = kinds_.at(organisation->flow).Pop();
  PG_CHECK(entry.has_value());
  ScheduledCall call = std::move(entry->element);
  // `organisations_` charged the cost of the organisation's oldest call, which
  // may not be the call that was chosen among its kinds.
  organisations_.Correct(call.organisation, call.cost - organisation->cost);
  queued_calls_.erase(call.request_id);
  waiting_cost_ -= call.cost;
  return call;
}

std::optional<ScheduledCall> CallQueue::Remove(const coordination::Id128& id) {
  auto found = queued_calls_.find(id);
  if (found == queued_calls_.end()) {
    return std::nullopt;
  }
  const QueuedCall queued = found->second;
  auto removed = kinds_.at(queued.organisation)
                     .Remove(queued.kind, [&](const ScheduledCall& other) {
                       return other.request_id == id;
                     });
  PG_CHECK(removed.has_value());
  organisations_.Remove(queued.organisation, [](std::size_t) { return true; });
  queued_calls_.erase(found);
  waiting_cost_ -= queued.cost;
  return removed;
}

void CallQueue::Correct(const ScheduledCall& call, double delta) {
  if (kinds_.empty()) {
    return;
  }
  organisations_.Correct(call.organisation, delta);
  auto kinds = kinds_.find(call.organisation);
  if (kinds != kinds_.end()) {
    kinds->second.Correct(call.kind, delta);
  }
}

double CallQueue::CostAhead(std::string_view organisation) const {
  // During the virtual wait, all backlogged organisations are served in
  // proportion to their weights.
  const double ahead = organisations_.VirtualWait(organisation) *
                       organisations_.BackloggedWeight();
  return std::min(waiting_cost_, ahead);
}

}  // namespace peridotgate::agent
