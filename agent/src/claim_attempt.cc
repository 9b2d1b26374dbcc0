#include "claim_attempt.h"

#include "coordination/check.h"
#include "coordination/request_charts.h"

namespace peridotgate::agent {
namespace {

using platform::Condition;
using platform::PlatformError;
using platform::Row;
using platform::RowWrite;

// Retention of keys in the table: a retry after this time runs again.
constexpr std::chrono::hours kKeyRetention{24 * 7};

bool WasNotApplied(PlatformError error) {
  return error == PlatformError::kUnavailable ||
         error == PlatformError::kThrottled;
}

// A write that replaces the row at `version`, or creates it if 0.
RowWrite MakeRowWrite(const ClaimKey& key,
                      std::int64_t version,
                      const wire::ClaimRecord& record) {
  RowWrite write;
  write.row = {ClaimRowKey(key), version + 1, wire::EncodeStruct(record)};
  write.condition = version == 0 ? Condition::kAbsent : Condition::kVersionIs;
  write.expected_version = version;
  write.keep = kKeyRetention;
  return write;
}

}  // namespace

platform::RowKey ClaimRowKey(const ClaimKey& key) {
  return {"claim#" + key.organisation + "#" + key.kind, key.key};
}

ClaimAttempt::ClaimAttempt(ClaimRequest request, std::string instance)
    : request_(std::move(request)),
      instance_(std::move(instance)),
      cursor_(coordination::ClaimChart()) {
  answer_.id = request_.id;
}

RowWrite ClaimAttempt::MakeWrite() const {
  PG_CHECK(wants_write());
  wire::ClaimRecord record;
  record.attempt_token = wire::ToWire(request_.attempt_token);
  record.agent = instance_;
  record.body_digest = request_.body_digest;
  record.state = wire::ClaimState::kClaimed;
  return MakeRowWrite(request_.key, released_version_, record);
}

void ClaimAttempt::OnWritten(std::optional<PlatformError> error) {
  if (!error) {
    cursor_.Step("written");
    answer_.outcome = ClaimOutcome::kClaimed;
    return;
  }
  if (*error == PlatformError::kConflict) {
    cursor_.Step("conflict");
    return;
  }
  if (!WasNotApplied(*error)) {
    may_be_applied_ = true;
    cursor_.Step("unanswered");
    return;
  }
  answer_.outcome = ClaimOutcome::kPlatformDown;
  cursor_.Step(may_be_applied_ ? "give_up" : "refused");
}

void ClaimAttempt::OnRow(const std::optional<Row>& row) {
  PG_CHECK(wants_read());
  if (!row) {
    released_version_ = 0;
    cursor_.Step("no_row");
    return;
  }
  auto record = wire::DecodeStruct<wire::ClaimRecord>(row->body);
  if (!record) {
    answer_.outcome = ClaimOutcome::kUnfinished;
    cursor_.Step("other_row");
    return;
  }
  EvaluateRow(*row, record.value());
}

void ClaimAttempt::EvaluateRow(const Row& row,
                               const wire::ClaimRecord& record) {
  const bool is_own =
      wire::FromWire(record.attempt_token) == request_.attempt_token;
  if (is_own && record.state == wire::ClaimState::kClaimed) {
    answer_.outcome = ClaimOutcome::kClaimed;
    cursor_.Step("own_row");
    return;
  }
  if (record.state == wire::ClaimState::kNotRun) {
    released_version_ = row.version;
    cursor_.Step("free_row");
    return;
  }
  answer_.record = record;
  if (record.body_digest != request_.body_digest) {
    answer_.outcome = ClaimOutcome::kKeyReused;
  } else if (record.state == wire::ClaimState::kDone) {
    answer_.outcome = ClaimOutcome::kReplay;
  } else {
    answer_.outcome = ClaimOutcome::kUnfinished;
  }
  cursor_.Step("other_row");
}

void ClaimAttempt::GiveUp() {
  answer_.outcome = ClaimOutcome::kPlatformDown;
  cursor_.Step("give_up");
}

void ClaimSettlement::OnRow(const std::optional<Row>& row) {
  version_ = row ? row->version : 0;
  if (!row) {
    // To release, write a released row even if there is none: a delayed write
    // of the claim, conditional on an absent row, must then fail.
    done_ = !releases();
    lost_ = done_;
    return;
  }
  auto current = wire::DecodeStruct<wire::ClaimRecord>(row->body);
  const bool is_own =
      current && current.value().attempt_token == result_.record.attempt_token;
  const bool is_released =
      current && current.value().state == wire::ClaimState::kNotRun;
  if (is_own) {
    done_ = current.value().state != wire::ClaimState::kClaimed;
    return;
  }
  // Another attempt released the row. To release ours, overwrite it: a delayed
  // write of our claim may be conditional on just this version.
  done_ = !(releases() && is_released);
  lost_ = !releases();
}

RowWrite ClaimSettlement::MakeWrite() const {
  PG_CHECK(!done_);
  return MakeRowWrite(result_.key, version_, result_.record);
}

void ClaimSettlement::OnWritten(std::optional<PlatformError> error) {
  done_ = !error;
}

}  // namespace peridotgate::agent
