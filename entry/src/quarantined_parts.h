// Parts of prompts on which servers crash, as the router knows them.
#ifndef ENTRY_QUARANTINED_PARTS_H_
#define ENTRY_QUARANTINED_PARTS_H_

#include <cstdint>
#include <span>
#include <unordered_map>

#include "coordination/clock.h"
#include "coordination/crash_attribution.h"

namespace peridotgate::entry {

/**
 * Agents decide about each call themselves, but one that has just started does
 * not know the parts yet.
 */
class QuarantinedParts {
 public:
  void Update(std::span<const coordination::Quarantine> list);

  /** Time until a call with these parts may be sent; zero if it may be now. */
  coordination::Duration TimeLeft(std::span<const std::int64_t> parts,
                                  coordination::TimePoint now) const;

 private:
  std::unordered_map<coordination::PartKey, coordination::TimePoint> until_;
};

}  // namespace peridotgate::entry

#endif  // ENTRY_QUARANTINED_PARTS_H_
