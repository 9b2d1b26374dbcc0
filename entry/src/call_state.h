// One call in the router, over all its attempts.
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

/** Attempts at one call, second ones among them. */
inline constexpr std::int32_t kMaxAttempts = 6;

/** How an attempt ended. */
enum class AttemptResult {
  kFinished,  // The caller has been told all there is.
  kNotRun,    // Refused before it ran; another server may take it.
  kBroken,    // Lost on the way: whether it ran is unknown.
  kDropped,   // The caller went away.
};

/** The attempt that is being followed. */
struct ActiveAttempt {
  runtime::Endpoint agent;
  std::int32_t number = 0;
  std::int64_t credit = 0;  // Position up to which the agent may send.
  Fleet::EventInbox* inbox = nullptr;
  std::string instance;
  coordination::TimePoint started;
  std::chrono::microseconds predicted{0};  // Time to first token.
  std::int64_t agent_incarnation = 0;      // Where it was sent, if known.
};

/** What is known of a call. */
struct CallState {
  RouteCall call;
  std::int32_t attempts = 0;              // Made so far.
  std::int32_t first_attempt_number = 0;  // Numbers of attempts start here.
  std::int64_t position = 0;              // Events passed on to the caller.
  std::int64_t consumed = 0;              // Events that the caller has taken.
  bool head_relayed = false;
  bool may_have_run = false;  // An attempt was lost after it was sent.
  bool dropped = false;
  std::set<std::string> refused_by;
  std::optional<wire::Refusal> last_refusal;
  std::optional<ActiveAttempt> active;
  std::optional<ActiveAttempt> second;  // While neither has given a head.
  bool second_tried = false;
  coordination::TimePoint deadline;

  /** Whether the followed agent may send nothing until the caller reads. */
  bool out_of_credit() const { return active && position >= active->credit; }

  /** Whether the caller may come back for the rest with an event's id. */
  bool is_resumable() const { return call.dispatch.streamed && head_relayed; }

  /** The outcome to tell when an attempt that says `last` was the last one. */
  wire::Outcome::type OverallOutcome(wire::Outcome::type last) const {
    const bool may_have_run_before =
        last == wire::Outcome::kNotRun && may_have_run;
    return may_have_run_before ? wire::Outcome::kUnknown : last;
  }
};

}  // namespace peridotgate::entry

#endif  // ENTRY_CALL_STATE_H_
