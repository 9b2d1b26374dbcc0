// The last service levels reported by each sender, until they expire.
#ifndef COORDINATION_LEVEL_TABLE_H_
#define COORDINATION_LEVEL_TABLE_H_

#include <cstddef>
#include <string>
#include <unordered_map>
#include <vector>

#include "coordination/share_exchange.h"

namespace peridotgate::coordination {

/** Sums of cost tokens by account. */
using LevelSums = std::unordered_map<AccountKey, std::int64_t>;

/** The `n` largest of `sums`. */
std::vector<ServiceLevel> LargestLevels(const LevelSums& sums, std::size_t n);

/** The last report of each sender at one stage; limits the senders. */
class LevelTable {
 public:
  struct Report {
    PeerAddress address;
    std::int64_t period = 0;
    TimePoint received_at;
    std::vector<ServiceLevel> levels;
  };

  explicit LevelTable(std::size_t senders) : max_senders_(senders) {}

  /**
   * Replaces the sender's levels. Returns false if the message is not newer, or
   * there are too many senders.
   */
  bool Update(const PeerAddress& from,
              const ShareMessage& message,
              TimePoint now);

  /** Removes reports received before `oldest`; returns true if any were. */
  bool Expire(TimePoint oldest);

  /** Adds the levels of all senders to `sums`. */
  void AddTo(LevelSums& sums) const;

  const std::unordered_map<std::string, Report>& reports() const {
    return reports_;
  }

 private:
  std::size_t max_senders_;
  std::unordered_map<std::string, Report> reports_;
};

}  // namespace peridotgate::coordination

#endif  // COORDINATION_LEVEL_TABLE_H_
