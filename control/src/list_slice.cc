#include "list_slice.h"

#include <algorithm>
#include <string>
#include <string_view>
#include <vector>

namespace peridotgate::control {
namespace {

using coordination::KnownMember;
using coordination::MemberRole;
using coordination::Membership;

// The number of usable entries, this process included, and how many of them
// sort before it by name.
struct Rank {
  std::size_t before = 0;
  std::size_t entries = 1;
};

Rank ComputeRank(const Membership& members) {
  Rank rank;
  for (const KnownMember& it : members.members()) {
    if (it.record.role != MemberRole::kEntry || !IsUsable(it)) {
      continue;
    }
    ++rank.entries;
    rank.before += it.record.instance < members.self().instance ? 1 : 0;
  }
  return rank;
}

std::vector<std::string_view> CollectNames(const Membership& members) {
  std::vector<std::string_view> names{members.self().instance};
  for (const KnownMember& it : members.members()) {
    names.push_back(it.record.instance);
  }
  return names;
}

std::string NameAt(std::vector<std::string_view>& names, std::size_t index) {
  const auto it = names.begin() + static_cast<std::ptrdiff_t>(index);
  std::nth_element(names.begin(), it, names.end());
  return std::string(*it);
}

}  // namespace

platform::NameRange SliceOf(const Membership& members) {
  const Rank rank = ComputeRank(members);
  std::vector<std::string_view> names = CollectNames(members);
  platform::NameRange slice;
  if (rank.before > 0) {
    slice.from = NameAt(names, names.size() * rank.before / rank.entries);
  }
  if (rank.before + 1 < rank.entries) {
    slice.until =
        NameAt(names, names.size() * (rank.before + 1) / rank.entries);
  }
  return slice;
}

}  // namespace peridotgate::control
