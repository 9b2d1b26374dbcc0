#include "coordination/section_delta.h"

#include <algorithm>

namespace peridotgate::coordination {
namespace {

// Below this, the three extra fields cost more than the delta saves.
constexpr std::size_t kMinSavedBytes = 16;

// FNV-1a, adjusted to be non-zero, because 0 marks full content.
std::uint32_t Checksum(std::string_view text) {
  constexpr std::uint32_t kBasis = 2166136261U;
  constexpr std::uint32_t kPrime = 16777619U;
  std::uint32_t sum = kBasis;
  for (const char c : text) {
    sum = (sum ^ static_cast<unsigned char>(c)) * kPrime;
  }
  return std::max(sum, 1U);
}

}  // namespace

Section EncodeDelta(const Section& section, std::string_view before) {
  const std::string_view now = section.content;
  const std::size_t max_shared = std::min(now.size(), before.size());
  const auto front =
      std::mismatch(now.begin(), now.begin() + max_shared, before.begin());
  const auto prefix = static_cast<std::size_t>(front.first - now.begin());
  const auto back = std::mismatch(
      now.rbegin(), now.rbegin() + (max_shared - prefix), before.rbegin());
  const auto suffix = static_cast<std::size_t>(back.first - now.rbegin());
  if (section.checksum != 0 || prefix + suffix < kMinSavedBytes) {
    return section;
  }
  Section delta = section;
  delta.content = now.substr(prefix, now.size() - prefix - suffix);
  delta.same_prefix = prefix;
  delta.same_suffix = suffix;
  delta.checksum = Checksum(now);
  return delta;
}

std::optional<std::string> DecodeDelta(const Section& section,
                                       std::string_view before) {
  if (section.checksum == 0) {
    return section.content;
  }
  if (section.same_prefix > before.size() ||
      section.same_suffix > before.size()) {
    return std::nullopt;
  }
  std::string decoded(before.substr(0, section.same_prefix));
  decoded += section.content;
  decoded += before.substr(before.size() - section.same_suffix);
  if (Checksum(decoded) != section.checksum) {
    return std::nullopt;
  }
  return decoded;
}

}  // namespace peridotgate::coordination
