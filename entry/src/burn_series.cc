#include "burn_series.h"

#include <algorithm>

#include "entry/problem.h"

namespace peridotgate::entry {
namespace {

namespace json = boost::json;
using std::chrono::microseconds;

// Empty histograms are left out.
void AddHistogram(std::string_view name,
                  const BurnCells& cells,
                  json::object& to) {
  if (cells == BurnCells{}) {
    return;
  }
  json::array all;
  for (const std::int32_t it : cells) {
    all.emplace_back(it);
  }
  to[name] = std::move(all);
}

// The index of the first period of a `window` that ends at `age`.
std::int64_t FirstIndex(microseconds age, const BurnWindow& window) {
  const BurnTier& tier = kBurnTiers[window.tier];
  return age / tier.period - window.length / tier.period + 1;
}

}  // namespace

const BurnWindow* FindBurnWindow(std::string_view name) {
  const auto* it =
      std::find_if(kBurnWindows.begin(), kBurnWindows.end(),
                   [&](const auto& window) { return window.name == name; });
  return it == kBurnWindows.end() ? nullptr : it;
}

std::size_t BucketOf(double ms) {
  const auto it = std::lower_bound(kBurnBounds.begin(), kBurnBounds.end(), ms);
  return static_cast<std::size_t>(it - kBurnBounds.begin());
}

void BurnCounts::Add(const BurnCounts& other) {
  for (const BurnField& it : kBurnFields) {
    this->*it.member += other.*it.member;
  }
  for (std::size_t i = 0; i < kBurnBucketCount; ++i) {
    first_ms[i] += other.first_ms[i];
    gap_ms[i] += other.gap_ms[i];
  }
  for (std::size_t i = 0; i < reasons.size(); ++i) {
    reasons[i] += other.reasons[i];
  }
}

json::object CountsToJson(const BurnCounts& counts) {
  json::object all;
  for (const BurnField& it : kBurnFields) {
    if (counts.*it.member != 0) {
      all[it.name] = counts.*it.member;
    }
  }
  AddHistogram("first_ms", counts.first_ms, all);
  AddHistogram("gap_ms", counts.gap_ms, all);
  json::object reasons;
  for (std::size_t i = 0; i < counts.reasons.size(); ++i) {
    if (counts.reasons[i] != 0) {
      reasons[ReasonName(static_cast<wire::Reason::type>(i))] =
          counts.reasons[i];
    }
  }
  if (!reasons.empty()) {
    all["reasons"] = std::move(reasons);
  }
  return all;
}

// Grows the capacity of `ring`, up to the number of periods of its tier.
void BurnSeries::Grow(Ring& ring, const BurnTier& tier) {
  if (ring.size() == ring.capacity()) {
    const auto most = static_cast<std::size_t>(tier.periods);
    ring.reserve(std::min(most, 2 * ring.size() + 1));
  }
}

BurnCounts* BurnSeries::Find(Ring& ring,
                             const BurnTier& tier,
                             std::int64_t index) {
  const std::int64_t newest =
      ring.empty() ? index : std::max(index, ring.back().index);
  const std::int64_t oldest = newest - tier.periods + 1;
  if (index < oldest) {
    return nullptr;
  }
  const auto is_before = [](const Period& it, std::int64_t wanted) {
    return it.index < wanted;
  };
  ring.erase(ring.begin(),
             std::lower_bound(ring.begin(), ring.end(), oldest, is_before));
  auto it = std::lower_bound(ring.begin(), ring.end(), index, is_before);
  if (it == ring.end() || it->index != index) {
    const auto at = it - ring.begin();
    Grow(ring, tier);
    it = ring.insert(ring.begin() + at, {index, {}});
  }
  return &it->counts;
}

void BurnSeries::Add(microseconds age, const BurnCounts& counts) {
  for (std::size_t i = 0; i < kBurnTiers.size(); ++i) {
    const BurnTier& tier = kBurnTiers[i];
    if (BurnCounts* found = Find(tiers_[i], tier, age / tier.period)) {
      found->Add(counts);
    }
  }
}

void BurnSeries::Merge(const BurnSeries& other) {
  for (std::size_t i = 0; i < kBurnTiers.size(); ++i) {
    for (const Period& it : other.tiers_[i]) {
      if (BurnCounts* found = Find(tiers_[i], kBurnTiers[i], it.index)) {
        found->Add(it.counts);
      }
    }
  }
}

BurnCounts BurnSeries::Sum(microseconds age, const BurnWindow& window) const {
  const std::int64_t first = FirstIndex(age, window);
  BurnCounts sum;
  for (const Period& it : tiers_[window.tier]) {
    if (it.index >= first) {
      sum.Add(it.counts);
    }
  }
  return sum;
}

json::array BurnSeries::RatiosToJson(microseconds age) const {
  json::array all;
  for (const BurnWindow& it : kBurnWindows) {
    const std::int64_t first = FirstIndex(age, it);
    std::int64_t calls = 0;
    std::int64_t bad = 0;
    for (const Period& period : tiers_[it.tier]) {
      calls += period.index >= first ? period.counts.calls : 0;
      bad += period.index >= first ? period.counts.bad : 0;
    }
    all.push_back(json::array{calls, bad});
  }
  return all;
}

json::array BurnSeries::BarsToJson(microseconds age,
                                   const BurnWindow& window) const {
  const std::int64_t first = FirstIndex(age, window);
  const BurnTier& tier = kBurnTiers[window.tier];
  const std::int64_t now = age / tier.period;
  json::array all;
  for (const Period& it : tiers_[window.tier]) {
    if (it.index >= first) {
      all.push_back(json::array{(now - it.index) * tier.period.count(),
                                it.counts.calls, it.counts.bad});
    }
  }
  return all;
}

bool BurnSeries::IsIdle(microseconds age) const {
  const std::int64_t first = FirstIndex(age, kBurnWindows.back());
  const Ring& coarsest = tiers_.back();
  return coarsest.empty() || coarsest.back().index < first;
}

bool BurnSeries::IsClean() const {
  const Ring& coarsest = tiers_.back();
  return std::all_of(coarsest.begin(), coarsest.end(), [](const Period& it) {
    return it.counts.bad == 0 && it.counts.lost == 0;
  });
}

}  // namespace peridotgate::entry
