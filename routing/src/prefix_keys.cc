#include "routing/prefix_keys.h"

#include <algorithm>
#include <string>

#include <xxhash.h>

namespace peridotgate::routing {
namespace {

constexpr std::size_t kPieceBytes = kBytesPerToken * kTokensPerPiece;

// Length-prefixes each field, so that different scopes never yield the same
// text.
PrefixKey HashScope(const PrefixScope& scope) {
  std::string text;
  for (std::string_view it : {scope.organisation, scope.model, scope.adapter}) {
    text += std::to_string(it.size());
    text += ':';
    text += it;
  }
  return XXH3_64bits_withSeed(text.data(), text.size(),
                              static_cast<XXH64_hash_t>(scope.weights_version));
}

}  // namespace

std::vector<PrefixKey> PrefixKeys(const PrefixScope& scope,
                                  std::string_view prompt) {
  std::vector<PrefixKey> keys;
  PrefixKey key = HashScope(scope);
  while (prompt.size() >= kPieceBytes && keys.size() < kMaxPieces) {
    key = XXH3_64bits_withSeed(prompt.data(), kPieceBytes, key);
    keys.push_back(key);
    prompt.remove_prefix(kPieceBytes);
  }
  return keys;
}

std::int64_t EstimateTokens(std::string_view prompt) {
  return static_cast<std::int64_t>(
      std::max<std::size_t>(1, prompt.size() / kBytesPerToken));
}

}  // namespace peridotgate::routing
