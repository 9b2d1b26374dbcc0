// Revokes an attempt that was lost, so that "not run" may be said of it.
#ifndef ENTRY_REVOKER_H_
#define ENTRY_REVOKER_H_

#include <boost/asio/awaitable.hpp>

#include "call_state.h"
#include "canceller.h"
#include "fleet.h"
#include "runtime/metrics.h"

namespace peridotgate::entry {

/**
 * Asks the agent of a lost attempt whether it was handed over. Only the process
 * that the attempt was sent to can know: one that started since would confirm
 * what an earlier one may have run.
 */
class Revoker {
 public:
  Revoker(runtime::Duty& duty,
          Fleet& fleet,
          Canceller& canceller,
          runtime::Metrics& metrics);

  /**
   * The followed attempt broke on the way: stops it if it may be repeated, and
   * otherwise finds out whether it may still run. What it counts as.
   */
  asio::awaitable<AttemptResult> OnBroken(const CallState& state);

 private:
  asio::awaitable<bool> ConfirmNotRun(Id128 request, ActiveAttempt attempt);
  bool IsConfirmation(const ActiveAttempt& attempt,
                      const wire::CancelResult& result) const;

  runtime::Duty& duty_;
  Fleet& fleet_;
  Canceller& canceller_;
  runtime::Counter& confirmed_;
  runtime::Counter& unconfirmed_;
};

}  // namespace peridotgate::entry

#endif  // ENTRY_REVOKER_H_
