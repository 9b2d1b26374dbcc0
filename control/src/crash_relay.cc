#include "crash_relay.h"

#include <utility>

#include <spdlog/fmt/fmt.h>

#include "runtime/log.h"
#include "wire/crash_facts.h"

namespace peridotgate::control {
namespace {

// News goes to this many members, at two ticks in a row.
constexpr std::size_t kFanOut = 3;
constexpr std::chrono::seconds kRepeatPeriod{1};

}  // namespace

CrashRelay::CrashRelay(const coordination::PeerSource& peers,
                       const coordination::Clock& clock,
                       std::uint64_t seed,
                       runtime::Metrics& metrics,
                       SendFunction send)
    : peers_(peers),
      clock_(clock),
      random_(seed),
      send_(std::move(send)),
      quarantined_(metrics.GetGauge("peridotgate_quarantined_parts")) {}

void CrashRelay::OnFacts(const wire::CrashFacts& facts) {
  const coordination::TimePoint now = clock_.Now();
  crashes_.Merge(wire::FromWire(facts, now), now);
}

bool CrashRelay::Tick() {
  const bool changed = Report();
  coordination::CrashNews taken = crashes_.TakeNews();
  coordination::CrashFacts news =
      coordination::Join(std::move(taken.own), std::move(taken.relayed));
  Send(last_news_, kFanOut);
  Send(news, kFanOut);
  last_news_ = std::move(news);
  if (clock_.Now() >= next_repeat_) {
    next_repeat_ = clock_.Now() + kRepeatPeriod;
    Send(crashes_.Current(clock_.Now()), 1);
  }
  return changed;
}

void CrashRelay::Send(const coordination::CrashFacts& facts,
                      std::size_t receivers) {
  if (facts.empty()) {
    return;
  }
  const wire::Message message(wire::ToWire(facts, clock_.Now()));
  for (const auto& it : peers_.Draw(receivers, random_)) {
    send_(it, message);
  }
}

bool CrashRelay::Report() {
  const auto held = crashes_.quarantines(clock_.Now());
  quarantined_.Set(static_cast<std::int64_t>(held.size()));
  const auto added = crashes_.TakeQuarantined();
  for (const coordination::Quarantine& it : added) {
    runtime::LogStateChange(
        fmt::format("part {:016x}", it.part), "quarantined",
        fmt::format("{} crashes on {} servers", it.crashes, it.servers));
  }
  const auto freed = crashes_.TakeFreed();
  for (const coordination::PartKey it : freed) {
    runtime::LogStateChange(fmt::format("part {:016x}", it), "free",
                            "a request with it was answered");
  }
  return !added.empty() || !freed.empty();
}

}  // namespace peridotgate::control
