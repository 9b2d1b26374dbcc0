// Writes a configuration change to the platform's table.
#ifndef OPERATE_APPLY_H_
#define OPERATE_APPLY_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "coordination/configuration_follower.h"
#include "coordination/result.h"
#include "runtime/settings_reader.h"

namespace peridotgate::operate {

/** Why a change was rejected. */
enum class ApplyError {
  kPlatform,  // Could not reach the table; nothing was written.
  kConflict,  // Another change took the version first.
  kUnknown,   // Response lost, and the table can't be read.
  kTooLarge,  // Exceeds the size limit of one change.
};

/** The change that took the requested version. */
struct WinningChange {
  std::int64_t newest = 0;   // The version now in force.
  std::int64_t version = 0;  // The version that this change took.
  std::string author;
  std::int64_t at_ms = 0;
  coordination::Id128 change_id;
};

/** Why a change was rejected and which change won, if any. */
struct ApplyFailure {
  ApplyError error = ApplyError::kPlatform;
  std::optional<WinningChange> winner;  // For kConflict, if still retained.

  bool operator==(ApplyError other) const { return error == other; }
};

/** A change requested by an operator. */
struct ApplyRequest {
  runtime::Endpoint table;
  std::int64_t base = 0;  // The version that the change is based on.
  std::string author;
  std::string answers_digest;
  std::vector<coordination::Section> sections;
};

/**
 * A deterministic change id, used as idempotency key: a retry of the same
 * change on the same base by the same author has the same id and is accepted
 * once.
 */
coordination::Id128 MakeChangeId(const ApplyRequest& request);

/** Atomically writes the change as version `base` + 1. */
coordination::Result<std::int64_t, ApplyFailure> Apply(
    const ApplyRequest& request);

}  // namespace peridotgate::operate

#endif  // OPERATE_APPLY_H_
