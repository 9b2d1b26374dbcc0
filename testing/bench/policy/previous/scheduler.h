// An earlier version of the scheduler, kept as a baseline of the bench.
#ifndef TESTING_BENCH_POLICY_PREVIOUS_SCHEDULER_H_
#define TESTING_BENCH_POLICY_PREVIOUS_SCHEDULER_H_

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>

#include "agent/scheduler.h"
#include "coordination/clock.h"
#include "coordination/ids.h"
#include "wire/codec.h"

namespace peridotgate::bench::previous {

using agent::ScheduledCall;

/** Limits of one scheduler. */
struct SchedulerLimits {
  std::int32_t slots = 16;
  std::size_t queued = 4096;
};

/**
 * Queues calls fairly across organisations and bounds the calls in the server.
 * A call returned by `Next` occupies a slot until `Finish`.
 */
class Scheduler {
 public:
  Scheduler(const coordination::Clock& clock, SchedulerLimits limits);
  ~Scheduler();

  /** The reason to reject `call` now, or kNone. */
  wire::Reason::type Admit(const ScheduledCall& call) const;

  /** Queues an admitted call. */
  void Push(ScheduledCall call);

  /** The next call to run, if the server has a free slot. */
  std::optional<ScheduledCall> Next();

  /** Removes a waiting call. False when it is not waiting. */
  bool Remove(const coordination::Id128& id);

  /** Records that the call was sent to the server. */
  void OnHandedOver(const coordination::Id128& id);
  /** Records the first and each further output of the call. */
  void OnOutput(const coordination::Id128& id);
  /** Frees the slot of a call that cost `cost` tokens; 0 if it never ran. */
  void Finish(const coordination::Id128& id, double cost);

  /** The predicted wait of a new call of `organisation`. */
  coordination::Duration QueueWait(const std::string& organisation) const;

  /** Fills in the queue and speed fields of a probe reply. */
  void Describe(const wire::ProbeRequest& request,
                wire::ProbeReply& reply) const;

  std::size_t waiting() const;
  std::int32_t in_flight() const;

 private:
  struct Contents;
  std::unique_ptr<Contents> contents_;
};

}  // namespace peridotgate::bench::previous

#endif  // TESTING_BENCH_POLICY_PREVIOUS_SCHEDULER_H_
