// The rows of one of the store's tables as they are known, kept so that other
// gateways can be told what changed.
#ifndef GATEWAY_ROW_TABLE_H_
#define GATEWAY_ROW_TABLE_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "gateway/fleet_source.h"

namespace peridotgate::gateway {

/**
 * Rows by key, removed ones among them for a while.
 *
 *     table.Apply(rows, whole);
 *     if (auto changes = table.After(version)) { Send(*changes); }
 */
class RowTable {
 public:
  /** Takes rows as the store told them; `whole` when they are all there are.
   * False when they are older than what is known, and change nothing. */
  bool Apply(const StoredRows& rows, bool whole);

  /** What changed after `version`; nothing when that is no longer known. */
  std::optional<StoredRows> After(std::int64_t version) const;
  /** All rows that exist. */
  StoredRows All() const;

  /** The version of the store up to which the rows are known; 0: nothing is. */
  std::int64_t version() const { return version_; }

 private:
  void ForgetRemoved();

  std::map<std::string, StoredRow> rows_;
  std::size_t removed_ = 0;  // Of `rows_`.
  std::int64_t version_ = 0;
  std::int64_t known_from_ = 0;  // Changes up to here can't be told.
};

}  // namespace peridotgate::gateway

#endif  // GATEWAY_ROW_TABLE_H_
