#include "long_turns.h"

#include <algorithm>
#include <chrono>

#include "coordination/check.h"

namespace peridotgate::agent {
namespace {

// Fraction of the server's time that aged long work is entitled to.
constexpr double kEntitledFraction = 0.25;
// Deficit at which long work gets priority over short calls. It keeps the
// priority until the deficit is 0.
constexpr double kSliceSeconds = 0.06;

}  // namespace

void LongTurns::OnQueued(const ScheduledCall& call) {
  aged_times_.insert(AgedAt(call));
}

void LongTurns::OnDequeued(const ScheduledCall& call) {
  auto it = aged_times_.find(AgedAt(call));
  PG_CHECK(it != aged_times_.end());
  aged_times_.erase(it);
}

bool LongTurns::IsEntitled(coordination::TimePoint now,
                           const PrefillLoad& longs,
                           bool has_slots) const {
  if (longs.calls > 0) {
    return longs.aged_at <= now;
  }
  return has_slots && !aged_times_.empty() && *aged_times_.begin() <= now;
}

void LongTurns::Observe(coordination::TimePoint now,
                        const RunningCalls& running,
                        bool has_slots) {
  const double passed =
      std::chrono::duration<double>(now - last_observed_).count();
  if (entitled_) {
    deficit_seconds_ += passed * (only_long_prefill_ ? kEntitledFraction - 1
                                                     : kEntitledFraction);
  }
  const PrefillLoad longs = running.PrefillsOfClass(true);
  entitled_ = IsEntitled(now, longs, has_slots);
  only_long_prefill_ =
      longs.calls > 0 && running.PrefillsOfClass(false).calls == 0;
  deficit_seconds_ =
      entitled_ ? std::clamp(deficit_seconds_, 0.0, kSliceSeconds) : 0;
  has_priority_ = deficit_seconds_ >= kSliceSeconds ||
                  (has_priority_ && deficit_seconds_ > 0);
  last_observed_ = now;
}

}  // namespace peridotgate::agent
