// Runs one attempt at a call: dispatches it and relays replies until it ends.
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

/** The parts of the router that an attempt uses. */
struct AttemptRunnerDeps {
  Fleet& fleet;
  Selector& selector;
  SecondAttempts& second_attempts;
  CallRelay& relay;
  Canceller& canceller;
  Revoker& revoker;
};

/** Runs on the router event-loop thread. */
class AttemptRunner {
 public:
  AttemptRunner(runtime::Duty& duty,
                const coordination::Clock& clock,
                const AttemptRunnerDeps& deps,
                runtime::Metrics& metrics);

  /** Dispatches the call to `selected` and relays the answer to its end. */
  asio::awaitable<AttemptResult> RunAttempt(CallState& state,
                                            const SelectedServer& selected);

  /**
   * Resumes the stream at the agent that last served it. False if that agent no
   * longer has it; the call then needs a new attempt.
   */
  asio::awaitable<bool> ResumeStream(CallState& state);

  /** Lets the agent send more, as the caller consumed events to `position`. */
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
