#include "slot_owners.h"

#include <algorithm>
#include <span>
#include <tuple>
#include <unordered_map>

#include "rendezvous.h"

namespace peridotgate::coordination {
namespace {

constexpr std::string_view kSlotPurpose = "share-slot/";

const SummingEntry* LowestRanked(std::span<const SummingEntry* const> entries,
                                 std::string_view purpose) {
  const SummingEntry* chosen = nullptr;
  std::uint64_t lowest_rank = 0;
  for (const SummingEntry* it : entries) {
    const std::uint64_t rank = RendezvousRank(it->instance, purpose);
    if (chosen == nullptr || rank < lowest_rank) {
      chosen = it;
      lowest_rank = rank;
    }
  }
  return chosen;
}

// Assigns each slot to the entry with the lowest rank for it, among those that
// do not yet have their equal share of slots.
SlotOwners::Owners AssignSlots(std::vector<const SummingEntry*> entries) {
  const std::size_t max_slots =
      (kShareSlots + entries.size() - 1) / entries.size();
  std::unordered_map<const SummingEntry*, std::size_t> owned;
  SlotOwners::Owners owners;
  for (std::size_t slot = 0; slot < kShareSlots; ++slot) {
    const std::string purpose =
        std::string(kSlotPurpose) + std::to_string(slot);
    const SummingEntry* owner = LowestRanked(entries, purpose);
    owners.push_back(owner);
    if (++owned[owner] == max_slots) {
      std::erase(entries, owner);
    }
  }
  return owners;
}

}  // namespace

std::size_t SlotOf(AccountKey account) {
  return account % kShareSlots;
}

bool SlotOwners::SetEntries(std::vector<SummingEntry> entries) {
  std::sort(entries.begin(), entries.end(),
            [](const SummingEntry& a, const SummingEntry& b) {
              return std::tie(a.instance, a.data_centre, a.address.address,
                              a.address.port) <
                     std::tie(b.instance, b.data_centre, b.address.address,
                              b.address.port);
            });
  if (entries == entries_) {
    return false;
  }
  owners_.clear();
  entries_ = std::move(entries);
  return true;
}

void SlotOwners::Choose(const std::string& own, const AvoidPredicate& avoid) {
  owners_.clear();
  for (const SummingEntry& it : entries_) {
    owners_[it.data_centre];
  }
  for (auto& [data_centre, owners] : owners_) {
    const auto entries = EntriesIn(
        data_centre, data_centre == own ? avoid : AvoidPredicate(nullptr));
    owners = AssignSlots(entries);
  }
}

const SummingEntry* SlotOwners::PreferredEntry(
    const std::string& data_centre,
    std::string_view agent,
    const AvoidPredicate& avoid) const {
  return LowestRanked(EntriesIn(data_centre, avoid), agent);
}

const SummingEntry* SlotOwners::OwnerOf(const std::string& data_centre,
                                        AccountKey account) const {
  auto it = owners_.find(data_centre);
  return it == owners_.end() ? nullptr : it->second[SlotOf(account)];
}

std::size_t SlotOwners::CountEntriesIn(const std::string& data_centre) const {
  return EntriesIn(data_centre, nullptr).size();
}

// Falls back to the entries of all data centres if `data_centre` has none, and
// to avoided entries if there are no others.
std::vector<const SummingEntry*> SlotOwners::EntriesIn(
    const std::string& data_centre,
    const AvoidPredicate& avoid) const {
  const bool known = std::any_of(
      entries_.begin(), entries_.end(),
      [&](const auto& it) { return it.data_centre == data_centre; });
  std::vector<const SummingEntry*> all;
  std::vector<const SummingEntry*> preferred;
  for (const SummingEntry& it : entries_) {
    if (known && it.data_centre != data_centre) {
      continue;
    }
    all.push_back(&it);
    if (avoid && !avoid(it)) {
      preferred.push_back(&it);
    }
  }
  return preferred.empty() ? all : preferred;
}

}  // namespace peridotgate::coordination
