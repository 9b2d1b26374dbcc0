// Delta encoding of sections against their previous content.
//
// Most changes modify only a few bytes of a section, so sending deltas saves
// bandwidth.
#ifndef COORDINATION_SECTION_DELTA_H_
#define COORDINATION_SECTION_DELTA_H_

#include <optional>
#include <string>
#include <string_view>

#include "coordination/configuration_follower.h"

namespace peridotgate::coordination {

/**
 * Returns `section` without the prefix and suffix that its content shares with
 * `before`, or unchanged when the saving is too small.
 *
 *     Section sent = Shorten(section, before);
 *     auto content = Restore(sent, before);  // section.content
 */
Section EncodeDelta(const Section& section, std::string_view before);

/**
 * Returns the full content of `section`, or nothing when the delta was encoded
 * against content other than `before`.
 */
std::optional<std::string> DecodeDelta(const Section& section,
                                       std::string_view before);

}  // namespace peridotgate::coordination

#endif  // COORDINATION_SECTION_DELTA_H_
