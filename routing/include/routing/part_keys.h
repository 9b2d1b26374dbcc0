// Keys of the parts of a prompt, by which requests that crash servers are told
// from others.
#ifndef ROUTING_PART_KEYS_H_
#define ROUTING_PART_KEYS_H_

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace peridotgate::routing {

/** Maximum number of keys of a request. */
inline constexpr std::size_t kMaxPartKeys = 64;

/**
 * One key for each part but the last, which no other request has. Unlike a
 * `PrefixKey`, a key depends on the text of its part and the target alone: what
 * crashes a server does so after other parts, and for other organisations, too.
 */
std::vector<std::uint64_t> PartKeys(std::string_view target,
                                    std::span<const std::string> parts);

/** Splits a prompt that is one text into pieces, as `PrefixKeys` does. */
std::vector<std::string> SplitPrompt(std::string_view prompt);

}  // namespace peridotgate::routing

#endif  // ROUTING_PART_KEYS_H_
