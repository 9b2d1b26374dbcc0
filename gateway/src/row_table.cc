#include "gateway/row_table.h"

#include <algorithm>

namespace peridotgate::gateway {
namespace {

// Removed rows that are remembered; servers are replaced a few times a minute.
constexpr std::size_t kMostRemoved = 256;

}  // namespace

bool RowTable::Apply(const StoredRows& rows, bool whole) {
  if (rows.version < version_) {
    return false;
  }
  if (whole) {
    rows_.clear();
    known_from_ = rows.version;
  }
  for (const StoredRow& it : rows.rows) {
    StoredRow& known = rows_[it.key];
    if (it.version >= known.version) {
      known = it;
    }
  }
  version_ = rows.version;
  removed_ = static_cast<std::size_t>(
      std::count_if(rows_.begin(), rows_.end(),
                    [](const auto& it) { return it.second.removed; }));
  if (removed_ > kMostRemoved) {
    ForgetRemoved();
  }
  return true;
}

// All at once: whoever is behind reads the whole table then.
void RowTable::ForgetRemoved() {
  std::erase_if(rows_, [](const auto& it) { return it.second.removed; });
  removed_ = 0;
  known_from_ = version_;
}

std::optional<StoredRows> RowTable::After(std::int64_t version) const {
  if (version < known_from_) {
    return std::nullopt;
  }
  StoredRows changes;
  changes.version = version_;
  for (const auto& [key, row] : rows_) {
    if (row.version > version) {
      changes.rows.push_back(row);
    }
  }
  return changes;
}

StoredRows RowTable::All() const {
  StoredRows all;
  all.version = version_;
  for (const auto& [key, row] : rows_) {
    if (!row.removed) {
      all.rows.push_back(row);
    }
  }
  return all;
}

}  // namespace peridotgate::gateway
