// Compares a change rejected for its stale base with the changes since then.
#ifndef OPERATE_CONFLICT_H_
#define OPERATE_CONFLICT_H_

#include <cstdint>
#include <string>
#include <vector>

#include "operate/configuration.h"

namespace peridotgate::operate {

/** A change whose base version is no longer in force. */
struct Conflict {
  std::int64_t base = 0;
  std::int64_t version = 0;  // The version in force.
  bool base_is_retained = false;
  bool proposes_base = false;              // Same content as the base.
  std::vector<std::string> other_changes;  // Since the base.
  std::vector<std::string> remaining;      // Of this change; not yet in force.
  std::vector<std::string> overlapping;    // Sections that others changed too.
  std::vector<std::string> undone;         // Others' sections it would revert.
};

/** Compares `proposed`, based on `base`, with the version in force. */
Conflict MakeConflict(const History& history,
                      std::int64_t base,
                      const std::vector<coordination::Section>& proposed);

/** Describes the conflict in sentences; the last is the next step. */
std::vector<std::string> DescribeConflict(const Conflict& conflict);

}  // namespace peridotgate::operate

#endif  // OPERATE_CONFLICT_H_
