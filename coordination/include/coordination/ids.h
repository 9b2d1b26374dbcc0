// Random 128-bit identifiers, which are unique without coordination.
#ifndef COORDINATION_IDS_H_
#define COORDINATION_IDS_H_

#include <compare>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace peridotgate::coordination {

/** A 128-bit identifier; printed as 32 lower-case hexadecimal digits. */
struct Id128 {
  std::uint64_t high = 0;
  std::uint64_t low = 0;

  auto operator<=>(const Id128&) const = default;
};

/** Generates an identifier from the system's entropy source. */
Id128 NewId();

/** `id` as 32 hexadecimal digits. */
std::string ToHex(const Id128& id);

/** Parses an identifier; nothing if `text` is not 32 hexadecimal digits. */
std::optional<Id128> ParseId(std::string_view text);

}  // namespace peridotgate::coordination

template <>
struct std::hash<peridotgate::coordination::Id128> {
  std::size_t operator()(
      const peridotgate::coordination::Id128& id) const noexcept {
    return static_cast<std::size_t>(id.high ^ (id.low * 0x9e3779b97f4a7c15));
  }
};

#endif  // COORDINATION_IDS_H_
