// The state of one call in the router across all its attempts.
#ifndef ENTRY_CALL_STATE_H_
#define ENTRY_CALL_STATE_H_

#include <chrono>
#include <cstdint>
#include <optional>
#include <set>
#include <string>

#include "coordination/clock.h"
#include "entry/messages.h"
#include "fleet.h"

namespace peridotgate::entry {

/** Maximum number of attempts at one call, including second attempts. */
inline constexpr std::int32_t kMaxAttempts = 6;

/** How an attempt ended. */
enum class AttemptResult {
  kFinished,  // The caller got the whole answer or a final error.
  kNotRun,    // Refused before it ran; another server may run it.
  kBroken,    // Link or answer lost: unknown whether it ran.
  kDropped,   // The caller disconnected.
};

/** The attempt whose replies are relayed to the caller. */
struct ActiveAttempt {
  runtime::Endpoint agent;
  std::int32_t number = 0;
  std::int64_t credit = 0;  // The agent may send events up to here.
  Fleet::EventInbox* inbox = nullptr;
  std::string instance;
  coordination::TimePoint started;
  std::chrono::microseconds predicted{0};  // Time to first token.
  std::int64_t agent_incarnation = 0;  // Process it was sent to; 0: unknown.
};

/** The state of a call. */
struct CallState {
  RouteCall call;
  std::int32_t attempts = 0;             // Number of attempts so far.
  std::int32_t base_attempt_number = 0;  // Attempts are numbered from here.
  std::int64_t position = 0;  // Number of events relayed to the caller.
  std::int64_t consumed = 0;  // Number of events the caller has consumed.
  bool head_relayed = false;
  bool may_have_run = false;  // An attempt was lost after it was sent.
  bool dropped = false;
  std::set<std::string> refused_by;
  std::optional<wire::Refusal> last_refusal;
  std::optional<ActiveAttempt> active;
  std::optional<ActiveAttempt> second;  // Until one of the two has sent a head.
  bool second_tried = false;
  coordination::TimePoint deadline;

  /** Whether the active agent must wait for the caller to read. */
  bool out_of_credit() const { return active && position >= active->credit; }

  /** Whether the caller may reconnect and resume by event id. */
  bool is_resumable() const { return call.dispatch.streamed && head_relayed; }

  /** The outcome of the call if its last attempt ended with `last`. */
  wire::Outcome::type OverallOutcome(wire::Outcome::type last) const {
    const bool may_have_run_before =
        last == wire::Outcome::kNotRun && may_have_run;
    return may_have_run_before ? wire::Outcome::kUnknown : last;
  }
};

}  // namespace peridotgate::entry

#endif  // ENTRY_CALL_STATE_H_
