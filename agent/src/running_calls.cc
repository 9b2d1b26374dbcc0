#include "running_calls.h"

#include <algorithm>

#include "coordination/check.h"

namespace peridotgate::agent {
namespace {

using coordination::Duration;
using coordination::Id128;
using coordination::TimePoint;

// After this time a call without output no longer counts as in prefill.
constexpr Duration kMaxPrefillTime{3000000};
// A long prompt gets only a part of the server's time, so its prefill may take
// up to this many times the prediction.
constexpr int kLongPrefillFactor = 6;
// A call is aged after its wait limit divided by this.
constexpr int kAgedDivisor = 4;

double PromptTokens(const ScheduledCall& call) {
  return call.prefill_tokens > 0 ? call.prefill_tokens : call.cost;
}

}  // namespace

TimePoint AgedAt(const ScheduledCall& call) {
  return call.arrived + call.wait_limit / kAgedDivisor;
}

void RunningCalls::Add(const ScheduledCall& call) {
  const TimePoint now = clock_.Now();
  calls_[call.request_id] = {call, now, now};
}

RunningCall& RunningCalls::At(const Id128& id) {
  auto it = calls_.find(id);
  PG_CHECK(it != calls_.end());
  return it->second;
}

RunningCall RunningCalls::Remove(const Id128& id) {
  auto it = calls_.find(id);
  PG_CHECK(it != calls_.end());
  RunningCall call = std::move(it->second);
  calls_.erase(it);
  return call;
}

// Always false for a call that isn't streamed, since the end of its prefill
// can't be observed.
bool RunningCalls::IsPrefilling(const RunningCall& it) const {
  const Duration max_prefill_time =
      it.call.long_work ? kMaxPrefillTime + kLongPrefillFactor * it.predicted
                        : kMaxPrefillTime;
  return it.call.streamed && it.outputs == 0 &&
         clock_.Now() - it.handed_over <= max_prefill_time;
}

template <class Predicate>
PrefillLoad RunningCalls::Load(Predicate predicate) const {
  PrefillLoad load;
  for (const auto& [id, it] : calls_) {
    if (predicate(it.call) && IsPrefilling(it)) {
      ++load.calls;
      load.tokens += PromptTokens(it.call);
      load.since = std::min(load.since, it.handed_over);
      load.aged_at = std::min(load.aged_at, AgedAt(it.call));
    }
  }
  return load;
}

PrefillLoad RunningCalls::PrefillsOfClass(bool long_work) const {
  return Load(
      [&](const ScheduledCall& it) { return it.long_work == long_work; });
}

PrefillLoad RunningCalls::PrefillsBefore(const ScheduledCall& call) const {
  return Load([&](const ScheduledCall& it) {
    return it.request_id != call.request_id && it.priority <= call.priority;
  });
}

bool RunningCalls::IsDecoding() const {
  return std::any_of(calls_.begin(), calls_.end(),
                     [](const auto& it) { return it.second.outputs > 0; });
}

}  // namespace peridotgate::agent
