// State machines for claiming an idempotency key and recording the outcome.
// They do no I/O.
#ifndef AGENT_CLAIM_ATTEMPT_H_
#define AGENT_CLAIM_ATTEMPT_H_

#include <cstdint>
#include <optional>
#include <string>

#include "agent/messages.h"
#include "coordination/state_chart.h"
#include "platform/table.h"

namespace peridotgate::agent {

/** The table row of the claim on `key`. */
platform::RowKey ClaimRowKey(const ClaimKey& key);

/**
 * One attempt to claim a key. Requests the next write or read and is given its
 * result. Creates the row if absent, or overwrites one that its owner released.
 * Any other row is left alone, so the right to run depends on no clock or
 * lease.
 *
 *     while (attempt.wants_write() || attempt.wants_read()) { ... }
 *     Answer(attempt.answer());
 */
class ClaimAttempt {
 public:
  ClaimAttempt(ClaimRequest request, std::string instance);

  bool wants_write() const { return cursor_.Is("writing"); }
  bool wants_read() const { return cursor_.Is("reading"); }
  /** Whether the claim may be in the table although it won't be used. */
  bool must_release() const { return cursor_.Is("releasing"); }

  /** The write that makes the claim. */
  platform::RowWrite MakeWrite() const;
  /** Result of the write; `nullopt` for success. */
  void OnWritten(std::optional<platform::PlatformError> error);

  /** Result of the read; `nullopt` if there is no row. */
  void OnRow(const std::optional<platform::Row>& row);

  /** Stops trying; the attempt will not run. */
  void GiveUp();

  /** The outcome; valid once neither a write nor a read is wanted. */
  const ClaimAnswer& answer() const { return answer_; }
  const ClaimRequest& request() const { return request_; }

 private:
  void EvaluateRow(const platform::Row& row, const wire::ClaimRecord& record);

  ClaimRequest request_;
  std::string instance_;
  coordination::ChartCursor cursor_;
  bool may_be_applied_ = false;
  std::int64_t released_version_ = 0;  // Of the released row; 0 if absent.
  ClaimAnswer answer_;
};

/**
 * Records the outcome of a claim that this agent owns: the response, or that
 * the call never ran. Read the row and write until `done`.
 */
class ClaimSettlement {
 public:
  explicit ClaimSettlement(ClaimResult result) : result_(std::move(result)) {}

  bool done() const { return done_; }
  /** Whether a response was lost: its claim was absent or owned by another. */
  bool lost() const { return lost_; }

  /** Result of the read. Unless `done`, write `MakeWrite` next. */
  void OnRow(const std::optional<platform::Row>& row);
  platform::RowWrite MakeWrite() const;
  void OnWritten(std::optional<platform::PlatformError> error);

  const ClaimKey& key() const { return result_.key; }

 private:
  bool releases() const {
    return result_.record.state == wire::ClaimState::kNotRun;
  }

  ClaimResult result_;
  std::int64_t version_ = 0;  // Of the current row; 0 if absent.
  bool done_ = false;
  bool lost_ = false;
};

}  // namespace peridotgate::agent

#endif  // AGENT_CLAIM_ATTEMPT_H_
