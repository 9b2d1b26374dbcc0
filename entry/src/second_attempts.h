// Second attempts at calls whose first one shows no output: when one starts,
// and which of the two is followed.
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
 * The first of two attempts to give a head is followed; the other one is
 * cancelled. Only for streams that may be repeated and whose kind allows it.
 */
class SecondAttempts {
 public:
  SecondAttempts(Fleet& fleet,
                 Canceller& canceller,
                 const coordination::Clock& clock,
                 runtime::Metrics& metrics);

  /** A call came in; it earns its part of the budget. */
  void OnCall(const RouteCall& call);

  /** Time until a second attempt may start, or nothing if none may. */
  std::optional<std::chrono::microseconds> Delay(const CallState& state) const;

  /** Notes that a second attempt was asked for; false without budget. */
  bool TryStart(CallState& state);

  /** The second attempt was sent. */
  void OnStarted(CallState& state, ActiveAttempt second);

  /**
   * Takes what `message` decides between two attempts. False when it ends the
   * one that is not followed, and nothing of it is to be relayed.
   */
  bool ResolveRace(CallState& state,
                   AttemptOrder& order,
                   const wire::Message& message);

  /** The followed attempt gave its head. */
  void OnHead(const CallState& state);

  /** Ends the second attempt, if there is one. */
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
