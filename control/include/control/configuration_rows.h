// Row layout of the configuration in the platform's table.
//
// One head row holds the newest version and is updated by compare-and-set.
// Each change has its own row, of which the newest are retained, and each
// section has a row with its newest content. All rows of a change are written
// in one transaction.
//
// A change with more sections than fit a transaction stores its content in a
// few part rows instead, written in the same transaction; its section rows are
// written afterwards. Until that is finished, the head row records the version
// up to which section rows are complete, and a reader applies the changes after
// that version.
#ifndef CONTROL_CONFIGURATION_ROWS_H_
#define CONTROL_CONFIGURATION_ROWS_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "coordination/configuration_follower.h"
#include "platform/table.h"
#include "wire/codec.h"

namespace peridotgate::control {

inline constexpr std::string_view kConfigPartition = "config";
inline constexpr std::string_view kHeadSort = "head";
inline constexpr std::string_view kChangePartition = "config-change";
inline constexpr std::string_view kSectionPartition = "config-section";
inline constexpr std::string_view kPartPartition = "config-part";

/** Change rows to retain. Readers further behind read the section rows. */
inline constexpr std::int64_t kRetainedChangeRows = 4096;

/**
 * Maximum rows in one transaction, and section rows among them. The remaining
 * rows are for the head, the change, and the trimmed change with its parts.
 */
inline constexpr std::size_t kMaxTransactionRows = 100;
inline constexpr std::size_t kMaxSectionsPerTransaction = 70;

/** Maximum bytes of one row's body and of one complete change. */
inline constexpr std::size_t kMaxRowBytes = 256 << 10;
inline constexpr std::size_t kMaxChangeBytes = 3 << 20;

/** Content of the head row. */
struct HeadState {
  std::int64_t version = 0;
  coordination::Id128 change_id;
  // Section rows are complete up to this version.
  std::int64_t section_rows_version = 0;

  /** Whether no section rows of a large change are pending. */
  bool has_all_section_rows() const { return section_rows_version >= version; }
};

/** The sort key of a change. Keys sort in version order. */
std::string ChangeSort(std::int64_t version);

/** The key of the head row. */
platform::RowKey HeadKey();

/** The key of a change's row. */
platform::RowKey ChangeKey(std::int64_t version);

/** The key of one part row of a change. */
platform::RowKey PartKey(std::int64_t version, std::int32_t piece);

/** Encodes and decodes the head row. */
platform::Row MakeHeadRow(const HeadState& head);
HeadState ReadHeadRow(const platform::Row& row);

/** Whether a change row's content is stored in part rows. */
bool IsSplitIntoParts(const wire::ConfigChange& row);

/** Whether `change` is too large to write its section rows with it. */
bool IsLarge(const wire::ConfigChange& change);

/** Whether `change` fits one transaction, in parts if it is large. */
bool IsAcceptable(const wire::ConfigChange& change);

/**
 * The writes of the transaction that commits `change` as the newest version.
 * The head must have all its section rows. Also removes the oldest retained
 * change row and its `trimmed_parts` part rows.
 */
std::vector<platform::RowWrite> MakeChangeWrites(
    const wire::ConfigChange& change,
    std::int32_t trimmed_parts = 0);

/** The write of a section row, encoded as a change with only that section. */
platform::RowWrite MakeSectionWrite(std::int64_t version,
                                    const wire::ConfigSection& section);

/** Conversions between wire changes and those of `coordination`. */
coordination::Change FromWire(const wire::ConfigChange& change);
wire::ConfigChange ToWire(const coordination::Change& change);
wire::ConfigSection ToWire(const coordination::Section& section);

}  // namespace peridotgate::control

#endif  // CONTROL_CONFIGURATION_ROWS_H_
