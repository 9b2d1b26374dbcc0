// Time series of burn counts: a ring of periods per tier.
#ifndef ENTRY_BURN_SERIES_H_
#define ENTRY_BURN_SERIES_H_

#include <array>
#include <vector>

#include <boost/json.hpp>

#include "entry/burn.h"

namespace peridotgate::entry {

/**
 * The counts of one series in every tier. Periods without calls take no memory.
 * `age` is the time since the start of the log.
 */
class BurnSeries {
 public:
  /** Adds `counts` to the period containing `age` in each tier. */
  void Add(std::chrono::microseconds age, const BurnCounts& counts);

  /** Adds the counts of `other`, period by period. */
  void Merge(const BurnSeries& other);

  /** The sum over `window`, which ends at `age`. */
  BurnCounts Sum(std::chrono::microseconds age, const BurnWindow& window) const;

  /** [calls, bad] over each of kBurnWindows. */
  boost::json::array RatiosToJson(std::chrono::microseconds age) const;

  /** [age of the period in seconds, calls, bad] for each period of `window`. */
  boost::json::array BarsToJson(std::chrono::microseconds age,
                                const BurnWindow& window) const;

  /** Whether nothing was counted within the longest window. */
  bool IsIdle(std::chrono::microseconds age) const;

  /** Whether no call was bad and no attempt was lost. */
  bool IsClean() const;

 private:
  struct Period {
    std::int64_t index = 0;
    BurnCounts counts;
  };
  using Ring = std::vector<Period>;

  // The counts of one period, created on demand; null if older than the ring.
  static BurnCounts* Find(Ring& ring, const BurnTier& tier, std::int64_t index);

  static void Grow(Ring& ring, const BurnTier& tier);

  std::array<Ring, kBurnTiers.size()> tiers_;
};

/** The index of the histogram bucket for `ms`. */
std::size_t BucketOf(double ms);

/** The non-zero counts by name. */
boost::json::object CountsToJson(const BurnCounts& counts);

}  // namespace peridotgate::entry

#endif  // ENTRY_BURN_SERIES_H_
