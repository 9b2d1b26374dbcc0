// One request in the agent: its state and its response so far.
#ifndef AGENT_STREAM_H_
#define AGENT_STREAM_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <vector>

#include "agent/core.h"
#include "agent/messages.h"
#include "coordination/clock.h"
#include "coordination/request_charts.h"

namespace peridotgate::agent {

/** Events that may be sent before the receiver has granted any credit. */
inline constexpr std::int64_t kInitialCredit = 256;

/**
 * A request and its retained response. `Forward` sends the attached link the
 * events that it lacks, with consecutive sequence numbers.
 */
struct Stream {
  AttemptId id;
  wire::Dispatch dispatch;
  coordination::ChartCursor state{coordination::RequestChart()};
  coordination::TimePoint arrived;
  coordination::TimePoint started;
  coordination::TimePoint last_progress;
  coordination::TimePoint detached_since;
  coordination::TimePoint ended;
  coordination::Id128 claim_token;
  std::string body_digest;  // Empty for repeatable calls.
  bool revoked = false;     // While claiming: don't send it to the server.
  bool replayed = false;

  std::optional<BackendHead> head;
  std::int64_t first_position = 0;  // Position of events[0].
  std::deque<std::string> events;
  std::size_t retained_bytes = 0;
  std::optional<wire::ReplyEnd> end;

  // All attempts that were ever attached, newest last.
  std::vector<std::int32_t> attempts;

  // The attached link (0 if none) and the progress of sending to it.
  LinkNumber link = 0;
  std::int32_t link_attempt = 0;
  std::int64_t next_sequence = 0;
  std::int64_t next_position = 0;
  std::int64_t credit = 0;  // Position up to which events may be sent.
  bool head_sent = false;
  bool end_sent = false;

  /** Directs the response to the link `to`, from `position` on. */
  void Attach(LinkNumber to, std::int32_t attempt, std::int64_t position);

  /** Whether `attempt` was attached before, so its message is a duplicate. */
  bool HasSeen(std::int32_t attempt) const;

  /**
   * Whether the next data starts a non-streamed response. The server sends it
   * from its start even if the receiver has it and only missed the end.
   */
  bool IsNonStreamedStart() const;

  /** Sends the events that the attached link lacks, as its credit allows. */
  void Forward(AgentOutputs& outputs);

  /** Whether the call ended without a complete response and may run again. */
  bool failed() const {
    return end && end->outcome != wire::Outcome::kRan && dispatch.repeatable;
  }

  /** Whether it ended, but the attached link hasn't received the end. */
  bool has_unsent_end() const { return link != 0 && end && !end_sent; }

  /** The position after the last event so far. */
  std::int64_t end_position() const {
    return first_position + static_cast<std::int64_t>(events.size());
  }

  /** Whether the response can be sent from `position` on. */
  bool Covers(std::int64_t position) const {
    return position >= first_position && position <= end_position();
  }

  /** Drops sent events except the last `keep`. Returns the bytes freed. */
  std::size_t DropSent(std::int64_t keep);

  /** Drops unsent events. Returns the bytes freed. */
  std::size_t DropUnsent();
};

}  // namespace peridotgate::agent

#endif  // AGENT_STREAM_H_
