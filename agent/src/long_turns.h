// Decides when long work goes before short work, so that it isn't starved.
#ifndef AGENT_LONG_TURNS_H_
#define AGENT_LONG_TURNS_H_

#include <set>

#include "agent/scheduler.h"
#include "running_calls.h"

namespace peridotgate::agent {

/**
 * A server with strict priorities never computes a long prompt while it has
 * short ones. Aged long work (see `AgedAt`) is entitled to a part of the
 * server's time. Once its deficit reaches a time slice, short calls are held
 * back until long work has had that time.
 */
class LongTurns {
 public:
  /** A long call was queued. */
  void OnQueued(const ScheduledCall& call);
  /** A long call left the queue. */
  void OnDequeued(const ScheduledCall& call);

  /**
   * Updates the deficit. From `now` on the server runs the calls in `running`;
   * `has_slots` says whether another long call may start.
   */
  void Observe(coordination::TimePoint now,
               const RunningCalls& running,
               bool has_slots);

  /** Whether long work goes first. */
  bool has_priority() const { return has_priority_; }

 private:
  bool IsEntitled(coordination::TimePoint now,
                  const PrefillLoad& longs,
                  bool has_slots) const;

  // When each waiting long call becomes aged.
  std::multiset<coordination::TimePoint> aged_times_;
  coordination::TimePoint last_observed_{};
  bool entitled_ = false;
  // Long calls are in prefill, and no short ones.
  bool only_long_prefill_ = false;
  double deficit_seconds_ =
      0;  // Server time that long work is still entitled to.
  bool has_priority_ = false;
};

}  // namespace peridotgate::agent

#endif  // AGENT_LONG_TURNS_H_
