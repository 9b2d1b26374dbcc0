#include "quarantined_parts.h"

#include <algorithm>

namespace peridotgate::entry {

void QuarantinedParts::Update(std::span<const coordination::Quarantine> list) {
  until_.clear();
  for (const coordination::Quarantine& it : list) {
    until_[it.part] = it.until;
  }
}

coordination::Duration QuarantinedParts::TimeLeft(
    std::span<const std::int64_t> parts,
    coordination::TimePoint now) const {
  coordination::Duration left{};
  for (const std::int64_t part : parts) {
    const auto found = until_.find(static_cast<coordination::PartKey>(part));
    if (found != until_.end()) {
      left = std::max(left, found->second - now);
    }
  }
  return left;
}

}  // namespace peridotgate::entry
