// Local copy of one of the store's tables, kept so that other gateways can be
// sent the changes.
#ifndef GATEWAY_ROW_TABLE_H_
#define GATEWAY_ROW_TABLE_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "gateway/fleet_source.h"

namespace peridotgate::gateway {

/**
 * Rows by key. Tombstones of removed rows are kept for a while.
 *
 *     table.Apply(rows, whole);
 *     if (auto changes = table.ChangesAfter(version)) { Send(*changes); }
 */
class RowTable {
 public:
  /** Applies rows from the store; `whole` if they are the full table. Returns
   * false, without any change, if they are older than the known version, or
   * changes of another era. */
  bool Apply(const StoredRows& rows, bool whole);

  /** The rows that changed after `version`; nothing if the history does not
   * reach back that far. */
  std::optional<StoredRows> ChangesAfter(StoreVersion version) const;
  /** Whether rows changed after `version`, or may have. */
  bool HasChangesAfter(StoreVersion version) const;
  /** The row with this key, or null; it may be a tombstone. */
  const StoredRow* Find(const std::string& key) const;
  /** The rows with values of at least `bytes`. */
  std::vector<const StoredRow*> LargeRows(std::size_t bytes) const;
  /** All rows except tombstones. */
  StoredRows All() const;

  /** The store version up to which the rows are known; number 0 if none is. */
  StoreVersion version() const { return version_; }

 private:
  void PruneTombstones();

  std::map<std::string, StoredRow> rows_;
  std::size_t tombstones_ = 0;  // Number of tombstones in `rows_`.
  StoreVersion version_;
  StoreVersion history_start_;  // Older history is not available.
};

}  // namespace peridotgate::gateway

#endif  // GATEWAY_ROW_TABLE_H_
