// Finds frequently requested prefixes, in bounded memory.
#ifndef ROUTING_PREFIX_HEAT_H_
#define ROUTING_PREFIX_HEAT_H_

#include <array>
#include <cstddef>
#include <span>
#include <vector>

#include "coordination/clock.h"
#include "routing/prefix_keys.h"

namespace peridotgate::routing {

/**
 * Decaying use counts of prefix keys. A full row of the table evicts the key
 * with the lowest count.
 *
 *     heat.Touch(chain, weight, now);
 *     auto shared = heat.SharedDepth(chain, now);
 */
class PrefixHeat {
 public:
  explicit PrefixHeat(std::size_t rows = 4096);

  /** Counts `weight` uses of each key. */
  void Touch(std::span<const PrefixKey> chain,
             double weight,
             coordination::TimePoint now);

  /** Recent uses; the count halves with each half-life. */
  double Count(PrefixKey key, coordination::TimePoint now) const;

  /** The number of leading keys of `chain` that other calls used recently. */
  std::size_t SharedDepth(std::span<const PrefixKey> chain,
                          coordination::TimePoint now) const;

 private:
  struct Entry {
    PrefixKey key = 0;
    float count = 0;
    coordination::TimePoint at{};
  };
  static constexpr std::size_t kWays = 8;
  using Row = std::array<Entry, kWays>;

  static double Decayed(const Entry& entry, coordination::TimePoint now);
  const Row& RowOf(PrefixKey key) const { return rows_[key % rows_.size()]; }
  void TouchOne(PrefixKey key, double weight, coordination::TimePoint now);

  std::vector<Row> rows_;
};

}  // namespace peridotgate::routing

#endif  // ROUTING_PREFIX_HEAT_H_
