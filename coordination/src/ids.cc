#include "coordination/ids.h"

#include <charconv>
#include <cstdio>
#include <random>

namespace peridotgate::coordination {
namespace {

constexpr std::size_t kHalfDigits = 16;

std::optional<std::uint64_t> ParseHalf(std::string_view text) {
  std::uint64_t value = 0;
  const char* end = text.data() + text.size();
  auto parsed = std::from_chars(text.data(), end, value, 16);
  if (parsed.ec != std::errc{} || parsed.ptr != end) {
    return std::nullopt;
  }
  return value;
}

}  // namespace

Id128 NewId() {
  thread_local std::random_device entropy;
  auto draw = [] {
    return (static_cast<std::uint64_t>(entropy()) << 32) | entropy();
  };
  return Id128{draw(), draw()};
}

std::string ToHex(const Id128& id) {
  char buf[2 * kHalfDigits + 1];
  std::snprintf(buf, sizeof buf, "%016llx%016llx",
                static_cast<unsigned long long>(id.high),
                static_cast<unsigned long long>(id.low));
  return buf;
}

std::optional<Id128> ParseId(std::string_view text) {
  if (text.size() != 2 * kHalfDigits) {
    return std::nullopt;
  }
  auto high = ParseHalf(text.substr(0, kHalfDigits));
  auto low = ParseHalf(text.substr(kHalfDigits));
  if (!high || !low) {
    return std::nullopt;
  }
  return Id128{*high, *low};
}

}  // namespace peridotgate::coordination
