// Assignment of accounts to summing entries, as known to this process.
#ifndef COORDINATION_SLOT_OWNERS_H_
#define COORDINATION_SLOT_OWNERS_H_

#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "coordination/share_exchange.h"

namespace peridotgate::coordination {

/** Number of slots of accounts; one entry per data centre sums each slot. */
inline constexpr std::size_t kShareSlots = 64;

std::size_t SlotOf(AccountKey account);

/** The entries of each data centre and the slots that they own. */
class SlotOwners {
 public:
  /** Owners in one data centre, indexed by slot. */
  using Owners = std::vector<const SummingEntry*>;
  /** Whether an entry is to be avoided while there are others. */
  using AvoidPredicate = std::function<bool(const SummingEntry&)>;

  /** Sets the known entries; returns false if they did not change. */
  bool SetEntries(std::vector<SummingEntry> entries);

  /** Reassigns all slots; applies `avoid` in the data centre `own` only. */
  void Choose(const std::string& own, const AvoidPredicate& avoid);

  /** The entry that `agent` reports to; null if there is none. */
  const SummingEntry* PreferredEntry(const std::string& data_centre,
                                     std::string_view agent,
                                     const AvoidPredicate& avoid) const;

  /** The owner of `account` in `data_centre`; null if it has no entries. */
  const SummingEntry* OwnerOf(const std::string& data_centre,
                              AccountKey account) const;

  const std::map<std::string, Owners>& data_centres() const { return owners_; }

  /** Number of entries in the data centre, or in all if it has none. */
  std::size_t CountEntriesIn(const std::string& data_centre) const;

 private:
  std::vector<const SummingEntry*> EntriesIn(const std::string& data_centre,
                                             const AvoidPredicate& avoid) const;

  std::vector<SummingEntry> entries_;
  std::map<std::string, Owners> owners_;
};

}  // namespace peridotgate::coordination

#endif  // COORDINATION_SLOT_OWNERS_H_
