// Cancels attempts at their agents: at once, or after a grace period in which
// the caller may resume the stream.
#ifndef ENTRY_CANCELLER_H_
#define ENTRY_CANCELLER_H_

#include "call_state.h"
#include "fleet.h"
#include "runtime/duty.h"
#include "runtime/metrics.h"

namespace peridotgate::entry {

/** Cancels attempts; runs on the router event-loop thread. */
class Canceller {
 public:
  Canceller(runtime::Duty& duty, Fleet& fleet, runtime::Metrics& metrics);

  /** Asks the agent to cancel `attempt`. */
  void Cancel(const Id128& request, const ActiveAttempt& attempt);

  /**
   * Handles a caller that disconnected: cancels a repeatable call, after a
   * grace period if the caller may resume its stream.
   */
  void OnCallerGone(const CallState& state);

 private:
  asio::awaitable<void> CancelLater(Id128 request, ActiveAttempt attempt);

  runtime::Duty& duty_;
  Fleet& fleet_;
  runtime::Counter& dropped_calls_;
};

}  // namespace peridotgate::entry

#endif  // ENTRY_CANCELLER_H_
