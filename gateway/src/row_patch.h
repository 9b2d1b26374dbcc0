// Patches between two values of a large row, so that a changed configuration
// costs as much as its change and not as much as its size. No I/O.
#ifndef GATEWAY_ROW_PATCH_H_
#define GATEWAY_ROW_PATCH_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "gateway/fleet_source.h"
#include "wire_types.h"

namespace peridotgate::gateway {

/** Rows with values of this size or more are sent as patches. */
inline constexpr std::size_t kMinPatchedBytes = 4 << 10;

/** The largest value that a patch may build, in bytes. */
inline constexpr std::size_t kMaxPatchedBytes = 16 << 20;

/** A part of a text whose bounds depend on the text nearby only, so that equal
 * parts of two texts are found wherever they stand. */
struct TextChunk {
  std::uint64_t hash = 0;
  std::uint32_t offset = 0;
  std::uint32_t size = 0;
};

std::vector<TextChunk> SplitText(std::string_view text);

/** Makes the patch that builds `text` from a text with the chunks `base`. */
wire::RowPatch MakePatch(std::string_view text,
                         std::span<const TextChunk> chunks,
                         std::span<const TextChunk> base);

/** Builds the value; returns nothing if the patch is malformed or was made for
 * another base. */
std::optional<std::string> ApplyPatch(std::string_view base,
                                      const wire::RowPatch& patch);

/**
 * Makes patches of large rows for other gateways. Remembers the chunks of
 * recent versions, not their text, and the patches of the newest version.
 *
 *     patches.OnRow(row);  // For each version of a row, as it arrives.
 *     copy.patch = patches.Get(row, version_of_the_receiver);
 */
class RowPatches {
 public:
  void OnRow(const StoredRow& row);

  /** The patch that builds `row` from `base_version`, or from nothing if that
   * version is not remembered. Valid until the next call. */
  const wire::RowPatch& Get(const StoredRow& row, StoreVersion base_version);

 private:
  struct Version {
    StoreVersion version;
    std::vector<TextChunk> chunks;
  };
  struct RowState {
    std::deque<Version> versions;                    // Oldest first.
    std::map<StoreVersion, wire::RowPatch> patches;  // By base version.
  };

  std::map<std::string, RowState> rows_;
};

}  // namespace peridotgate::gateway

#endif  // GATEWAY_ROW_PATCH_H_
