// Scheduling policy of one server: admission, the order in which waiting calls
// start, and predicted waits. Does no I/O.
#ifndef AGENT_SCHEDULER_H_
#define AGENT_SCHEDULER_H_

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "coordination/clock.h"
#include "coordination/ids.h"
#include "runtime/metrics.h"
#include "wire/codec.h"

namespace peridotgate::agent {

/** A call's properties that matter for scheduling. Costs are in tokens. */
struct ScheduledCall {
  coordination::Id128 request_id;
  std::string organisation;
  std::string kind;
  double weight = 1;
  double cost = 1;            // Predicted, of uncached prefill and output.
  double prefill_tokens = 0;  // Uncached prompt tokens, included in `cost`.
  bool long_work = false;
  bool streamed = false;      // The output arrives incrementally.
  std::int32_t priority = 0;  // In the server; lowest first. See `Next`.
  std::vector<std::int64_t> prefix_keys;  // Pieces that it leaves in the cache.
  coordination::Duration wait_limit{0};
  coordination::TimePoint arrived;
};

/** Limits of one scheduler. */
struct SchedulerLimits {
  std::int32_t slots = 16;
  std::size_t queued = 4096;
};

/**
 * Weighted fair queueing over organisations, then kinds of call, with bounded
 * concurrency in the server. Long work may use only a part of the slots. Only a
 * few calls at a time are in prefill in the server, so that calls wait here,
 * where the order is decided, and not in the server's own queue. A call
 * returned by `Next` holds a slot until `Finish`.
 */
class Scheduler {
 public:
  Scheduler(const coordination::Clock& clock, SchedulerLimits limits);
  ~Scheduler();

  /** The reason to refuse `call` now, or kNone. */
  wire::Reason::type Admit(const ScheduledCall& call) const;

  /** How long to wait before retrying a refused call like `call`. */
  coordination::Duration RetryAfter(const ScheduledCall& call) const;

  /** Queues an admitted call. */
  void Push(ScheduledCall call);

  /**
   * The next call to start, if the server has room for it. Sets its priority in
   * the server: long work ranks after short.
   */
  std::optional<ScheduledCall> Next();

  /** Removes a call that waited beyond its limit, if there is one. */
  std::optional<coordination::Id128> NextExpired();

  /** Removes a waiting call. Returns false if it isn't waiting. */
  bool Remove(const coordination::Id128& id);

  /**
   * Whether a call that `Next` returned would give its first output within its
   * wait limit if it were sent to the server now. `call` holds its current
   * prefill tokens, as the cache may have changed since `Push`.
   */
  bool StartsInTime(const ScheduledCall& call);

  /** The call was sent to the server. */
  void OnHandedOver(const coordination::Id128& id);

  /** The call gave output. Call for the first and for each further one. */
  void OnOutput(const coordination::Id128& id);

  /** The call ended with `tokens` of prompt and output; 0 if it never ran. */
  void Finish(const coordination::Id128& id, double tokens);

  /** Predicted queueing time of a short call of `organisation`. */
  coordination::Duration QueueWait(const std::string& organisation) const;

  /**
   * Records the service that other servers gave to organisations: fair shares
   * hold over all servers.
   */
  void OnShareReport(const wire::ShareReport& report);

  /** Ends a period; returns the service in it. Call twice a second. */
  wire::ShareReport TakeShareReport();

  /** Recent service of this server; decays with each `TakeShareReport`. */
  wire::ShareReport RecentService() const;

  /** Current slowdown against the server's normal speed; at least 1. */
  double Slowness() const;

  /**
   * Fills in the queue and speed fields of a probe reply, and adds to its
   * `held_pieces` those that waiting and running calls are about to compute.
   */
  void Describe(const wire::ProbeRequest& request,
                wire::ProbeReply& reply) const;

  std::size_t waiting() const;
  std::int32_t in_flight() const;

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace peridotgate::agent

#endif  // AGENT_SCHEDULER_H_
