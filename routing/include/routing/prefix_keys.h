// Keys of cached prefixes: hash chains over fixed-size pieces of the prompt.
#ifndef ROUTING_PREFIX_KEYS_H_
#define ROUTING_PREFIX_KEYS_H_

#include <cstddef>
#include <cstdint>
#include <string_view>
#include <vector>

namespace peridotgate::routing {

/** Estimated bytes of prompt text per token. */
inline constexpr std::size_t kBytesPerToken = 4;

/** Tokens in one piece of a cached prefix. */
inline constexpr std::size_t kTokensPerPiece = 2000;

/** Maximum number of keys; longer prefixes are never shared in practice. */
inline constexpr std::size_t kMaxPieces = 64;

/** Everything besides its text that a cached prefix depends on. */
struct PrefixScope {
  std::string_view organisation;
  std::string_view model;
  std::string_view adapter;
  std::int64_t weights_version = 0;
};

/** Hash of a prefix and its scope. */
using PrefixKey = std::uint64_t;

/**
 * One key for each whole piece of `prompt`, each covering all text up to the
 * end of that piece. Equal keys mean equal prefixes in equal scopes.
 */
std::vector<PrefixKey> PrefixKeys(const PrefixScope& scope,
                                  std::string_view prompt);

/** Estimated number of tokens in `prompt`; at least one. */
std::int64_t EstimateTokens(std::string_view prompt);

}  // namespace peridotgate::routing

#endif  // ROUTING_PREFIX_KEYS_H_
