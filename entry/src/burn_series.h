// Rings of counts over periods.
#ifndef ENTRY_BURN_SERIES_H_
#define ENTRY_BURN_SERIES_H_

#include <array>
#include <vector>

#include <boost/json.hpp>

#include "entry/burn.h"

namespace peridotgate::entry {

/**
 * The counts of one series in every tier; quiet periods take no room. Times
 * are the age of the log, since its start.
 */
class BurnSeries {
 public:
  /** Adds to the period of each tier that `age` falls in. */
  void Add(std::chrono::microseconds age, const BurnCounts& counts);

  /** Adds all that `other` counted, each to its own period. */
  void Merge(const BurnSeries& other);

  /** What was counted over `window` up to `age`. */
  BurnCounts Sum(std::chrono::microseconds age, const BurnWindow& window) const;

  /** [calls, bad] over each of kBurnWindows. */
  boost::json::array RatiosToJson(std::chrono::microseconds age) const;

  /** [age of the period in seconds, calls, bad] for each period of `window`. */
  boost::json::array BarsToJson(std::chrono::microseconds age,
                                const BurnWindow& window) const;

  /** Whether nothing was counted within the longest window. */
  bool IsIdle(std::chrono::microseconds age) const;

  /** Whether no call was bad and no attempt lost. */
  bool IsClean() const;

 private:
  struct Period {
    std::int64_t index = 0;
    BurnCounts counts;
  };
  using Ring = std::vector<Period>;

  // The counts of one period, or null when it lies before the ring.
  static BurnCounts* Find(Ring& ring, const BurnTier& tier, std::int64_t index);

  static void Grow(Ring& ring, const BurnTier& tier);

  std::array<Ring, kBurnTiers.size()> tiers_;
};

/** The cell of a histogram that `ms` falls in. */
std::size_t BucketOf(double ms);

/** Counts that are not 0, by their names. */
boost::json::object CountsToJson(const BurnCounts& counts);

}  // namespace peridotgate::entry

#endif  // ENTRY_BURN_SERIES_H_
