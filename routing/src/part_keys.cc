#include "routing/part_keys.h"

#include <algorithm>

#include <xxhash.h>

#include "routing/prefix_keys.h"

namespace peridotgate::routing {

std::vector<std::uint64_t> PartKeys(std::string_view target,
                                    std::span<const std::string> parts) {
  std::vector<std::uint64_t> keys;
  if (parts.empty()) {
    return keys;
  }
  const std::uint64_t scope = XXH3_64bits(target.data(), target.size());
  const std::size_t n = std::min(parts.size() - 1, kMaxPartKeys);
  for (const std::string& it : parts.first(n)) {
    keys.push_back(XXH3_64bits_withSeed(it.data(), it.size(), scope));
  }
  return keys;
}

std::vector<std::string> SplitPrompt(std::string_view prompt) {
  constexpr std::size_t kPieceBytes = kTokensPerPiece * kBytesPerToken;
  std::vector<std::string> parts;
  for (std::size_t i = 0; i < prompt.size(); i += kPieceBytes) {
    parts.emplace_back(prompt.substr(i, kPieceBytes));
  }
  return parts;
}

}  // namespace peridotgate::routing
