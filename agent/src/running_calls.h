// The calls running in a server, and which of them are in prefill.
#ifndef AGENT_RUNNING_CALLS_H_
#define AGENT_RUNNING_CALLS_H_

#include <cstddef>
#include <cstdint>
#include <unordered_map>

#include "agent/scheduler.h"
#include "coordination/clock.h"

namespace peridotgate::agent {

/** A call that was sent to the server, or is about to be. */
struct RunningCall {
  ScheduledCall call;
  coordination::TimePoint handed_over;
  coordination::TimePoint last_output;
  std::int64_t outputs = 0;
  coordination::Duration predicted{0};  // From `handed_over` to first output.
};

/** A set of calls in prefill. */
struct PrefillLoad {
  std::int32_t calls = 0;
  double tokens = 0;
  /** When the earliest of them was sent to the server. */
  coordination::TimePoint since = coordination::TimePoint::max();
  /** When the first of them becomes aged; see `AgedAt`. */
  coordination::TimePoint aged_at = coordination::TimePoint::max();
};

/** When `call` becomes aged: it has used up a fixed part of its wait limit. */
coordination::TimePoint AgedAt(const ScheduledCall& call);

class RunningCalls {
 public:
  explicit RunningCalls(const coordination::Clock& clock) : clock_(clock) {}

  void Add(const ScheduledCall& call);

  /** The call with `id`, which must exist. */
  RunningCall& At(const coordination::Id128& id);

  /** Removes and returns the call with `id`, which must exist. */
  RunningCall Remove(const coordination::Id128& id);

  std::int32_t size() const { return static_cast<std::int32_t>(calls_.size()); }

  /** The calls of one class that are in prefill. */
  PrefillLoad PrefillsOfClass(bool long_work) const;

  /** The calls in prefill that the server computes before `call`. */
  PrefillLoad PrefillsBefore(const ScheduledCall& call) const;

  /** Whether some call has given its first output. */
  bool IsDecoding() const;

 private:
  template <class Predicate>
  PrefillLoad Load(Predicate predicate) const;
  bool IsPrefilling(const RunningCall& it) const;

  const coordination::Clock& clock_;
  std::unordered_map<coordination::Id128, RunningCall> calls_;
};

}  // namespace peridotgate::agent

#endif  // AGENT_RUNNING_CALLS_H_
