#include "wire/crash_facts.h"

#include <algorithm>
#include <cstddef>

namespace peridotgate::wire {
namespace {

using coordination::Duration;
using coordination::TimePoint;
using std::chrono::milliseconds;

// Limits of one message, about 20 KB: a part takes up to ten bytes.
constexpr std::size_t kMaxSuspects = 1024;  // Of all crashes.
constexpr std::size_t kMaxSound = 256;
constexpr std::size_t kMaxQuarantines = 128;
// Longer times are not credible.
constexpr std::int64_t kMaxMs = 24LL * 3600 * 1000;

std::int64_t ToMs(Duration time) {
  return std::chrono::duration_cast<milliseconds>(time).count();
}

Duration FromMs(std::int64_t ms) {
  return milliseconds(std::clamp<std::int64_t>(ms, 0, kMaxMs));
}

}  // namespace

CrashFacts ToWire(const coordination::CrashFacts& facts, TimePoint now) {
  CrashFacts message;
  std::size_t suspects = 0;
  // The youngest crashes matter most.
  for (auto it = facts.crashes.rbegin(); it != facts.crashes.rend(); ++it) {
    suspects += it->suspects.size();
    if (suspects > kMaxSuspects) {
      break;
    }
    CrashFact crash;
    crash.server = static_cast<std::int64_t>(it->server);
    crash.age_ms = ToMs(now - it->at);
    crash.suspects.assign(it->suspects.begin(), it->suspects.end());
    message.crashes.push_back(std::move(crash));
  }
  for (const coordination::SoundAnswer& it : facts.sound) {
    if (message.sound.size() == kMaxSound) {
      break;
    }
    SoundFact sound;
    sound.part = static_cast<std::int64_t>(it.part);
    sound.age_ms = ToMs(now - it.at);
    message.sound.push_back(sound);
  }
  for (const coordination::Quarantine& it : facts.quarantines) {
    if (message.quarantines.size() == kMaxQuarantines) {
      break;
    }
    QuarantineFact quarantine;
    quarantine.part = static_cast<std::int64_t>(it.part);
    quarantine.age_ms = ToMs(now - it.since);
    quarantine.left_ms = ToMs(it.until - now);
    quarantine.held_ms = ToMs(std::max(it.held_until, now) - now);
    quarantine.crashes = it.crashes;
    quarantine.servers = it.servers;
    quarantine.level = it.level;
    message.quarantines.push_back(quarantine);
  }
  return message;
}

coordination::CrashFacts FromWire(const CrashFacts& message, TimePoint now) {
  coordination::CrashFacts facts;
  for (const CrashFact& it : message.crashes) {
    facts.crashes.push_back({static_cast<std::uint64_t>(it.server),
                             now - FromMs(it.age_ms),
                             {it.suspects.begin(), it.suspects.end()}});
  }
  for (const SoundFact& it : message.sound) {
    facts.sound.push_back(
        {static_cast<std::uint64_t>(it.part), now - FromMs(it.age_ms)});
  }
  for (const QuarantineFact& it : message.quarantines) {
    coordination::Quarantine quarantine;
    quarantine.part = static_cast<std::uint64_t>(it.part);
    quarantine.since = now - FromMs(it.age_ms);
    quarantine.until =
        it.left_ms >= 0 ? now + FromMs(it.left_ms) : now - FromMs(-it.left_ms);
    quarantine.held_until = now + FromMs(it.held_ms);
    quarantine.crashes = it.crashes;
    quarantine.servers = it.servers;
    quarantine.level = std::max(0, it.level);
    facts.quarantines.push_back(quarantine);
  }
  return facts;
}

}  // namespace peridotgate::wire
