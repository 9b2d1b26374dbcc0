#include "coordination/section_delta.h"

#include <algorithm>

namespace peridotgate::coordination {
namespace {

// Below this the three numbers cost more than is left out.
constexpr std::size_t kLeastSavedBytes = 16;

// FNV-1a, which is never 0 here, as 0 stands for a whole content.
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
  const std::size_t most = std::min(now.size(), before.size());
  const auto front =
      std::mismatch(now.begin(), now.begin() + most, before.begin());
  const auto prefix = static_cast<std::size_t>(front.first - now.begin());
  const auto back = std::mismatch(now.rbegin(), now.rbegin() + (most - prefix),
                                  before.rbegin());
  const auto suffix = static_cast<std::size_t>(back.first - now.rbegin());
  if (section.checksum != 0 || prefix + suffix < kLeastSavedBytes) {
    return section;
  }
  Section out = section;
  out.content = now.substr(prefix, now.size() - prefix - suffix);
  out.same_prefix = prefix;
  out.same_suffix = suffix;
  out.checksum = Checksum(now);
  return out;
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
  std::string whole(before.substr(0, section.same_prefix));
  whole += section.content;
  whole += before.substr(before.size() - section.same_suffix);
  if (Checksum(whole) != section.checksum) {
    return std::nullopt;
  }
  return whole;
}

}  // namespace peridotgate::coordination
