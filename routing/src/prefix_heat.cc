#include "routing/prefix_heat.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace peridotgate::routing {
namespace {

using coordination::TimePoint;

constexpr std::chrono::seconds kHalfLife{8};
// Minimum decayed use count of a shared prefix, including the use by the call
// itself.
constexpr double kSharedCount = 1.5;

}  // namespace

PrefixHeat::PrefixHeat(std::size_t rows) : rows_(rows) {}

double PrefixHeat::Decayed(const Entry& entry, TimePoint now) {
  const double age = std::chrono::duration<double>(now - entry.at) / kHalfLife;
  return static_cast<double>(entry.count) * std::exp2(-age);
}

void PrefixHeat::TouchOne(PrefixKey key, double weight, TimePoint now) {
  Row& row = rows_[key % rows_.size()];
  auto found = std::find_if(row.begin(), row.end(),
                            [&](const Entry& it) { return it.key == key; });
  if (found == row.end()) {
    found = std::min_element(row.begin(), row.end(),
                             [&](const Entry& a, const Entry& b) {
                               return Decayed(a, now) < Decayed(b, now);
                             });
    *found = {key, 0, now};
  }
  found->count = static_cast<float>(Decayed(*found, now) + weight);
  found->at = now;
}

void PrefixHeat::Touch(std::span<const PrefixKey> chain,
                       double weight,
                       TimePoint now) {
  for (PrefixKey it : chain) {
    TouchOne(it, weight, now);
  }
}

double PrefixHeat::Count(PrefixKey key, TimePoint now) const {
  for (const Entry& it : RowOf(key)) {
    if (it.key == key) {
      return Decayed(it, now);
    }
  }
  return 0;
}

std::size_t PrefixHeat::SharedDepth(std::span<const PrefixKey> chain,
                                    TimePoint now) const {
  std::size_t depth = 0;
  while (depth < chain.size() && Count(chain[depth], now) >= kSharedCount) {
    ++depth;
  }
  return depth;
}

}  // namespace peridotgate::routing
