// Second attempts (hedged requests) at calls whose first attempt has produced
// no output: decides when one starts and which of the two is kept.
#ifndef ENTRY_SECOND_ATTEMPTS_H_
#define ENTRY_SECOND_ATTEMPTS_H_

#include <chrono>
#include <optional>

#include "attempt.h"
#include "call_state.h"
#include "canceller.h"
#include "coordination/clock.h"
#include "fleet.h"
#include "routing/second_attempt.h"
#include "runtime/metrics.h"

namespace peridotgate::entry {

/**
 * Keeps the attempt whose reply head arrives first and cancels the other. Only
 * for repeatable streams whose kind of work allows second attempts.
 */
class SecondAttempts {
 public:
  SecondAttempts(Fleet& fleet,
                 Canceller& canceller,
                 const coordination::Clock& clock,
                 runtime::Metrics& metrics);

  /** Credits the budget for a new call. */
  void OnCall(const RouteCall& call);

  /** Time until a second attempt may start; empty if it may not. */
  std::optional<std::chrono::microseconds> Delay(const CallState& state) const;

  /**
   * Charges a second attempt to the budget; false if the budget is used up.
   * Each call gets one try.
   */
  bool TryStart(CallState& state);

  /** Records that `second` was sent. */
  void OnStarted(CallState& state, ActiveAttempt second);

  /**
   * Updates the race between two attempts after `message`: a head decides it,
   * an end or refusal takes its attempt out. False if `message` is not to be
   * relayed, since one of the two attempts ended without a head.
   */
  bool ResolveRace(CallState& state,
                   AttemptOrder& order,
                   const wire::Message& message);

  /** The active attempt received its reply head. */
  void OnHead(const CallState& state);

  /** Cancels the second attempt, if there is one. */
  void CancelSecond(CallState& state);

 private:
  void RecordFirstToken(const ActiveAttempt& attempt);
  void Unregister(const CallState& state, const ActiveAttempt& attempt);
  void PromoteSecond(CallState& state, AttemptOrder& order);

  Fleet& fleet_;
  Canceller& canceller_;
  const coordination::Clock& clock_;
  routing::SecondAttemptPolicy policy_;
  runtime::Counter& started_;
  runtime::Counter& won_;
  runtime::Counter& denied_;
};

}  // namespace peridotgate::entry

#endif  // ENTRY_SECOND_ATTEMPTS_H_
