// Fair queue of waiting calls, by organisation, then by kind.
#ifndef AGENT_CALL_QUEUE_H_
#define AGENT_CALL_QUEUE_H_

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>

#include "agent/scheduler.h"
#include "coordination/fair_queue.h"

namespace peridotgate::agent {

/** Waiting calls of one class (short or long) of one server. */
class CallQueue {
 public:
  CallQueue();

  void Push(ScheduledCall call);
  std::optional<ScheduledCall> Pop();
  std::optional<ScheduledCall> Remove(const coordination::Id128& id);

  /**
   * Adjusts the charge of the call's organisation and kind by `delta`, the
   * difference between the actual cost and the cost charged by `Pop`.
   */
  void Correct(const ScheduledCall& call, double delta);

  /** Cost of the calls served before a new call of `organisation`. */
  double CostAhead(std::string_view organisation) const;

  /** The organisation that `Pop` would serve; empty if no call waits. */
  std::string_view NextOrganisation() const {
    return organisations_.NextFlow();
  }

  std::size_t size() const { return organisations_.size(); }
  double waiting_cost() const { return waiting_cost_; }

 private:
  using Kinds = coordination::FairQueue<ScheduledCall>;
  struct QueuedCall {
    std::string organisation;
    std::string kind;
    double cost = 0;
  };

  coordination::FairQueue<std::size_t> organisations_;
  std::unordered_map<std::string, Kinds> kinds_;
  std::unordered_map<coordination::Id128, QueuedCall> queued_calls_;
  double waiting_cost_ = 0;
};

}  // namespace peridotgate::agent

#endif  // AGENT_CALL_QUEUE_H_
