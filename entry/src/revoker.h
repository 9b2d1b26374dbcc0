// Revokes a lost attempt, so that the call can be reported as not run.
#ifndef ENTRY_REVOKER_H_
#define ENTRY_REVOKER_H_

#include <boost/asio/awaitable.hpp>

#include "call_state.h"
#include "canceller.h"
#include "fleet.h"
#include "runtime/metrics.h"

namespace peridotgate::entry {

/**
 * Asks the agent of a lost attempt whether the attempt reached its backend.
 * Only the agent process that the attempt was sent to can answer: a process
 * started later would report "not run" for work that the earlier one may have
 * run.
 */
class Revoker {
 public:
  Revoker(runtime::Duty& duty,
          Fleet& fleet,
          Canceller& canceller,
          runtime::Metrics& metrics);

  /**
   * Handles the loss of the active attempt: cancels it if the call is
   * repeatable, and otherwise asks the agent to revoke it. Returns kNotRun if
   * the agent confirms that it has not run and never will, else kBroken.
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
