#include "gateway/row_table.h"

#include <algorithm>

namespace peridotgate::gateway {
namespace {

// Maximum number of tombstones; servers are replaced a few times a minute.
constexpr std::size_t kMaxTombstones = 256;

}  // namespace

bool RowTable::Apply(const StoredRows& rows, bool whole) {
  const bool same_history = rows.version.era == version_.era;
  if (rows.version < version_ || (!whole && !same_history)) {
    return false;
  }
  if (whole) {
    rows_.clear();
    history_start_ = rows.version;
  }
  for (const StoredRow& it : rows.rows) {
    StoredRow& known = rows_[it.key];
    if (it.version >= known.version) {
      known = it;
    }
  }
  version_ = rows.version;
  tombstones_ = static_cast<std::size_t>(
      std::count_if(rows_.begin(), rows_.end(),
                    [](const auto& it) { return it.second.removed; }));
  if (tombstones_ > kMaxTombstones) {
    PruneTombstones();
  }
  return true;
}

// Removes all tombstones at once. A gateway that is behind then reads the whole
// table.
void RowTable::PruneTombstones() {
  std::erase_if(rows_, [](const auto& it) { return it.second.removed; });
  tombstones_ = 0;
  history_start_ = version_;
}

std::optional<StoredRows> RowTable::ChangesAfter(StoreVersion version) const {
  if (version < history_start_) {
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

bool RowTable::HasChangesAfter(StoreVersion version) const {
  return version < history_start_ ||
         std::any_of(rows_.begin(), rows_.end(), [&](const auto& it) {
           return it.second.version > version;
         });
}

const StoredRow* RowTable::Find(const std::string& key) const {
  const auto found = rows_.find(key);
  return found == rows_.end() ? nullptr : &found->second;
}

std::vector<const StoredRow*> RowTable::LargeRows(std::size_t bytes) const {
  std::vector<const StoredRow*> large;
  for (const auto& [key, row] : rows_) {
    if (row.value.size() >= bytes) {
      large.push_back(&row);
    }
  }
  return large;
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
