// Ends attempts at their agents: at once, or when nobody comes back for them.
#ifndef ENTRY_CANCELLER_H_
#define ENTRY_CANCELLER_H_

#include "call_state.h"
#include "fleet.h"
#include "runtime/duty.h"
#include "runtime/metrics.h"

namespace peridotgate::entry {

/** Cancels attempts; runs on the router duty. */
class Canceller {
 public:
  Canceller(runtime::Duty& duty, Fleet& fleet, runtime::Metrics& metrics);

  /** Tells the agent to end `attempt`. */
  void Cancel(const Id128& request, const ActiveAttempt& attempt);

  /**
   * The caller is gone: work that may be repeated is stopped, after a while if
   * the caller may come back for the rest.
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
