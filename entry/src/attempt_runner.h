// Follows one attempt at a call: sends it and relays what comes until it ends.
#ifndef ENTRY_ATTEMPT_RUNNER_H_
#define ENTRY_ATTEMPT_RUNNER_H_

#include <chrono>

#include "call_relay.h"
#include "call_state.h"
#include "canceller.h"
#include "coordination/clock.h"
#include "fleet.h"
#include "revoker.h"
#include "runtime/duty.h"
#include "runtime/metrics.h"
#include "second_attempts.h"
#include "selector.h"

namespace peridotgate::entry {

/** The parts of the router that following an attempt needs. */
struct AttemptRunnerDeps {
  Fleet& fleet;
  Selector& selector;
  SecondAttempts& second_attempts;
  CallRelay& relay;
  Canceller& canceller;
  Revoker& revoker;
};

/** Runs on the router duty. */
class AttemptRunner {
 public:
  AttemptRunner(runtime::Duty& duty,
                const coordination::Clock& clock,
                const AttemptRunnerDeps& deps,
                runtime::Metrics& metrics);

  /** Dispatches the call to `selected` and follows the attempt to its end. */
  asio::awaitable<AttemptResult> RunAttempt(CallState& state,
                                            const SelectedServer& selected);

  /**
   * Takes the stream up where it was last served. False when it is not kept
   * there, and the call is to be attempted anew.
   */
  asio::awaitable<bool> ResumeStream(CallState& state);

  /** The caller took events up to `position`: the agent may send more. */
  void GrantCredit(CallState& state, std::int64_t position);

 private:
  ActiveAttempt MakeAttempt(const CallState& state,
                            const SelectedServer& selected) const;
  wire::Dispatch MakeDispatch(const CallState& state,
                              const SelectedServer& selected) const;
  asio::awaitable<void> StartSecond(CallState& state, Fleet::EventInbox& inbox);
  coordination::Duration RemainingWait(const CallState& state) const;
  asio::awaitable<AttemptResult> SendAndRelay(CallState& state,
                                              ActiveAttempt attempt,
                                              const wire::Message& request);
  asio::awaitable<AttemptResult> Relay(CallState& state,
                                       Fleet::EventInbox& inbox);

  runtime::Duty& duty_;
  const coordination::Clock& clock_;
  AttemptRunnerDeps deps_;
  runtime::Counter& attempts_;
  runtime::Counter& stalls_;
};

}  // namespace peridotgate::entry

#endif  // ENTRY_ATTEMPT_RUNNER_H_
