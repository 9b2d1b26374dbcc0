#include "coordination/crash_attribution.h"

#include <algorithm>
#include <deque>
#include <iterator>
#include <list>
#include <set>
#include <unordered_map>
#include <utility>

namespace peridotgate::coordination {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Reports on one server within this time are about the same crash: a server
// does not start again faster.
constexpr milliseconds kSameCrash{1000};
// Servers that crash within this time have another common cause than a request,
// which runs on one server at a time.
constexpr milliseconds kSameMoment{50};
// Least time between two evaluations, which go over all known crashes.
constexpr milliseconds kEvaluationPeriod{50};
// Crashes younger than this are repeated to other instances.
constexpr seconds kRepeatedCrashes{3};
// Differences in reported times below this are due to rounding and transport.
constexpr milliseconds kTimeTolerance{1000};
constexpr int kMaxDoublings = 16;
// Limit on each list of news, of which the oldest are dropped if nobody takes
// them.
constexpr std::size_t kMaxNews = 256;

template <typename T>
void AddNews(std::vector<T>& news, T item) {
  if (news.size() == kMaxNews) {
    news.erase(news.begin());
  }
  news.push_back(std::move(item));
}

// The last sound answer of each part, bounded by dropping the least recently
// used parts.
class SoundParts {
 public:
  explicit SoundParts(std::size_t max) : max_(max) {}

  std::optional<TimePoint> Find(PartKey part) const {
    const auto found = by_part_.find(part);
    return found == by_part_.end() ? std::nullopt
                                   : std::optional(found->second->at);
  }

  void Touch(PartKey part, TimePoint at) {
    const auto found = by_part_.find(part);
    if (found != by_part_.end()) {
      found->second->at = std::max(found->second->at, at);
      order_.splice(order_.begin(), order_, found->second);
      return;
    }
    order_.push_front({part, at});
    by_part_[part] = order_.begin();
    if (order_.size() > max_) {
      by_part_.erase(order_.back().part);
      order_.pop_back();
    }
  }

 private:
  std::size_t max_;
  std::list<SoundAnswer> order_;
  std::unordered_map<PartKey, std::list<SoundAnswer>::iterator> by_part_;
};

// Crashes of the same moment.
struct CrashGroup {
  TimePoint at{};
  std::vector<const Crash*> crashes;
};

// What speaks against one part.
struct Evidence {
  PartKey part = 0;
  bool was_sound = false;
  std::vector<std::size_t> groups;  // That have the part, ascending.
  std::size_t position = 0;         // In the suspects of the last crash.
  std::set<std::uint64_t> servers;

  int crashes() const { return static_cast<int>(groups.size()); }
};

bool IsStronger(const Evidence& a, const Evidence& b) {
  if (a.was_sound != b.was_sound) {
    return b.was_sound;
  }
  if (a.crashes() != b.crashes()) {
    return a.crashes() > b.crashes();
  }
  // Parts that always came together: the later one is in fewer other requests.
  if (a.position != b.position) {
    return a.position > b.position;
  }
  return a.part < b.part;
}

template <typename T>
void Append(std::vector<T>& list, std::vector<T> more) {
  list.insert(list.end(), std::make_move_iterator(more.begin()),
              std::make_move_iterator(more.end()));
}

bool HasSuspect(const Crash& crash, PartKey part) {
  return std::find(crash.suspects.begin(), crash.suspects.end(), part) !=
         crash.suspects.end();
}

}  // namespace

CrashFacts Join(CrashFacts facts, CrashFacts more) {
  Append(facts.crashes, std::move(more.crashes));
  Append(facts.sound, std::move(more.sound));
  Append(facts.quarantines, std::move(more.quarantines));
  return facts;
}

struct CrashAttribution::Impl {
  explicit Impl(CrashAttributionLimits limits)
      : limits(limits), sound(limits.max_sound_parts) {}

  CrashAttributionLimits limits;
  std::deque<Crash> crashes;  // By time.
  SoundParts sound;
  std::unordered_map<PartKey, TimePoint> last_crash;  // Of each suspect.
  std::unordered_map<PartKey, Quarantine> quarantines;
  CrashNews news;
  std::vector<Quarantine> quarantined_news;
  std::vector<PartKey> freed_news;
  bool changed = false;
  TimePoint next_evaluation{};

  void AddCrash(Crash crash, CrashFacts& facts) {
    const auto same =
        std::find_if(crashes.begin(), crashes.end(), [&](const Crash& it) {
          return it.server == crash.server &&
                 std::chrono::abs(it.at - crash.at) < kSameCrash;
        });
    if (same == crashes.end()) {
      const auto after = std::upper_bound(
          crashes.begin(), crashes.end(), crash.at,
          [](TimePoint at, const Crash& it) { return at < it.at; });
      crash.suspects.resize(
          std::min(crash.suspects.size(), limits.max_suspects));
      OnNewSuspects(crash.suspects, crash.at, facts);
      AddNews(facts.crashes, crash);
      crashes.insert(after, std::move(crash));
      if (crashes.size() > limits.max_crashes) {
        DropOldestCrash();
      }
    } else {
      AddSuspects(*same, crash.suspects, facts);
    }
    changed = true;
  }

  void AddSuspects(Crash& known,
                   std::span<const PartKey> suspects,
                   CrashFacts& facts) {
    Crash added{known.server, known.at, {}};
    for (const PartKey it : suspects) {
      if (!HasSuspect(known, it) &&
          known.suspects.size() < limits.max_suspects) {
        known.suspects.push_back(it);
        added.suspects.push_back(it);
      }
    }
    if (!added.suspects.empty()) {
      OnNewSuspects(added.suspects, known.at, facts);
      AddNews(facts.crashes, std::move(added));
    }
  }

  // Other instances may not know of earlier sound answers on a new suspect.
  void OnNewSuspects(std::span<const PartKey> suspects,
                     TimePoint at,
                     CrashFacts& facts) {
    for (const PartKey it : suspects) {
      TimePoint& last = last_crash[it];
      last = std::max(last, at);
      ExtendQuarantine(it, at);
      if (const auto answered = sound.Find(it)) {
        AddNews(facts.sound, {it, *answered});
      }
    }
  }

  void AddSound(PartKey part, TimePoint at, CrashFacts& facts) {
    const auto before = sound.Find(part);
    sound.Touch(part, at);
    const auto suspected = last_crash.find(part);
    if (suspected != last_crash.end()) {
      const bool clears =
          suspected->second < at && (!before || *before <= suspected->second);
      if (!before || clears) {
        AddNews(facts.sound, {part, at});
        changed = true;
      }
    }
    const auto held = quarantines.find(part);
    if (held != quarantines.end() && at > held->second.since) {
      quarantines.erase(held);
      AddNews(freed_news, part);
      AddNews(facts.sound, {part, at});
    }
  }

  void AddQuarantine(const Quarantine& quarantine) {
    const auto answered = sound.Find(quarantine.part);
    if (answered && *answered > quarantine.since) {
      AddNews(news.relayed.sound, {quarantine.part, *answered});
      return;
    }
    auto found = quarantines.find(quarantine.part);
    if (found == quarantines.end()) {
      if (quarantines.size() < limits.max_quarantines) {
        quarantines.emplace(quarantine.part, quarantine);
        AddNews(news.relayed.quarantines, quarantine);
        AddNews(quarantined_news, quarantine);
      }
      return;
    }
    Quarantine& known = found->second;
    const bool longer = quarantine.until > known.until + kTimeTolerance;
    const bool held = quarantine.held_until > known.held_until + kTimeTolerance;
    if (longer) {
      AddNews(quarantined_news, quarantine);
    }
    known.level = std::max(known.level, quarantine.level);
    known.until = std::max(known.until, quarantine.until);
    known.held_until = std::max(known.held_until, quarantine.held_until);
    if (longer || held) {
      AddNews(news.relayed.quarantines, known);
    }
  }

  void DropOldestCrash() {
    const Crash& oldest = crashes.front();
    for (const PartKey it : oldest.suspects) {
      const auto found = last_crash.find(it);
      if (found != last_crash.end() && found->second <= oldest.at) {
        last_crash.erase(found);
      }
    }
    crashes.pop_front();
  }

  // Drops what is too old to matter.
  void Forget(TimePoint now) {
    while (!crashes.empty() && now - crashes.front().at > limits.memory) {
      DropOldestCrash();
    }
    std::erase_if(quarantines, [&](const auto& it) {
      const bool forgotten = IsForgotten(it.second, now);
      if (forgotten) {
        DropEvidence(it.first, now);
      }
      return forgotten;
    });
  }

  // The crashes before `end` no longer speak against the part.
  void DropEvidence(PartKey part, TimePoint end) {
    const auto last = last_crash.find(part);
    if (last != last_crash.end() && last->second < end) {
      last_crash.erase(last);
    }
    for (Crash& it : crashes) {
      if (it.at < end) {
        std::erase(it.suspects, part);
      }
    }
  }

  // A part whose quarantine ended as long ago as it lasted starts anew.
  static bool IsForgotten(const Quarantine& held, TimePoint now) {
    return now > held.held_until && now - held.until > held.until - held.since;
  }

  Duration TermOf(int level) const {
    return std::min<Duration>(
        limits.first_quarantine * (1 << std::min(level, kMaxDoublings)),
        limits.max_quarantine);
  }

  // Quarantines the part again if a server crashed on it after its term.
  void ExtendQuarantine(PartKey part, TimePoint crashed_at) {
    const auto found = quarantines.find(part);
    if (found == quarantines.end() || crashed_at <= found->second.until) {
      return;
    }
    Quarantine& held = found->second;
    if (IsForgotten(held, crashed_at)) {
      DropEvidence(part, crashed_at);
      quarantines.erase(found);
      return;
    }
    ++held.level;
    ++held.crashes;
    held.since = crashed_at;
    held.until = crashed_at + TermOf(held.level);
    AddNews(news.relayed.quarantines, held);
    AddNews(quarantined_news, held);
  }

  bool IsExplained(const CrashGroup& group) const {
    return std::any_of(
        group.crashes.begin(), group.crashes.end(), [&](const Crash* crash) {
          return std::any_of(
              crash->suspects.begin(), crash->suspects.end(),
              [&](PartKey it) { return quarantines.contains(it); });
        });
  }

  // The crashes that count and that no quarantined part explains.
  std::vector<CrashGroup> UnexplainedGroups(TimePoint now) const {
    std::vector<CrashGroup> groups;
    for (const Crash& it : crashes) {
      if (now - it.at < limits.settling) {
        break;
      }
      if (groups.empty() || it.at - groups.back().at > kSameMoment) {
        groups.push_back({it.at, {}});
      }
      groups.back().crashes.push_back(&it);
    }
    std::erase_if(groups,
                  [this](const CrashGroup& it) { return IsExplained(it); });
    return groups;
  }

  // The evidence against each part since its last sound answer.
  std::unordered_map<PartKey, Evidence> Collect(
      std::span<const CrashGroup> groups) const {
    std::unordered_map<PartKey, Evidence> evidence;
    for (std::size_t i = 0; i < groups.size(); ++i) {
      for (const Crash* crash : groups[i].crashes) {
        for (std::size_t n = 0; n < crash->suspects.size(); ++n) {
          const PartKey part = crash->suspects[n];
          const auto answered = sound.Find(part);
          if (answered && *answered > crash->at) {
            continue;
          }
          Evidence& it = evidence[part];
          it.part = part;
          it.position = n;
          it.was_sound = answered.has_value();
          if (it.groups.empty() || it.groups.back() != i) {
            it.groups.push_back(i);
          }
          it.servers.insert(crash->server);
        }
      }
    }
    return evidence;
  }

  bool HasEnoughCrashes(const Evidence& it) const {
    const bool doubtful = it.was_sound || it.servers.size() < 2;
    return it.crashes() >=
           (doubtful ? limits.min_crashes_of_sound_part : limits.min_crashes);
  }

  // Whether most of the crashes since the first one with the part are
  // `explained`. Several parts may crash servers by turns, so each need not be
  // in most of them.
  bool IsPartOfMost(const Evidence& it,
                    const std::vector<bool>& explained) const {
    const auto first =
        explained.begin() + static_cast<std::ptrdiff_t>(it.groups.front());
    const auto n = static_cast<double>(explained.end() - first);
    return static_cast<double>(std::count(first, explained.end(), true)) >=
           limits.min_share * n;
  }

  // The part that most likely causes the unexplained crashes.
  std::optional<Evidence> FindCause(TimePoint now) const {
    const auto groups = UnexplainedGroups(now);
    std::vector<Evidence> suspects;
    std::vector<bool> explained(groups.size());
    for (auto& [part, it] : Collect(groups)) {
      if (HasEnoughCrashes(it)) {
        for (const std::size_t group : it.groups) {
          explained[group] = true;
        }
        suspects.push_back(std::move(it));
      }
    }
    std::erase_if(suspects, [&](const Evidence& it) {
      return !IsPartOfMost(it, explained);
    });
    const auto strongest =
        std::min_element(suspects.begin(), suspects.end(), IsStronger);
    return strongest == suspects.end() ? std::nullopt
                                       : std::optional(*strongest);
  }

  void Evaluate(TimePoint now) {
    if (!changed || now < next_evaluation) {
      return;
    }
    next_evaluation = now + kEvaluationPeriod;
    Forget(now);
    while (quarantines.size() < limits.max_quarantines) {
      const auto cause = FindCause(now);
      if (!cause) {
        break;
      }
      Quarantine held;
      held.part = cause->part;
      held.since = now;
      held.until = now + TermOf(0);
      held.crashes = cause->crashes();
      held.servers = static_cast<int>(cause->servers.size());
      AddQuarantine(held);
    }
    // Crashes that are too young count at a later evaluation.
    changed = !crashes.empty() && now - crashes.back().at < limits.settling;
  }
};

CrashAttribution::CrashAttribution(CrashAttributionLimits limits)
    : impl_(std::make_unique<Impl>(limits)) {}

CrashAttribution::~CrashAttribution() = default;

void CrashAttribution::OnCrash(Crash crash) {
  Impl& it = *impl_;
  std::vector<PartKey> suspects;
  for (const PartKey part : crash.suspects) {
    const auto answered = it.sound.Find(part);
    const bool sound =
        answered && crash.at - *answered < it.limits.sound_before;
    if (!sound &&
        std::find(suspects.begin(), suspects.end(), part) == suspects.end()) {
      suspects.push_back(part);
    }
  }
  crash.suspects = std::move(suspects);
  it.AddCrash(std::move(crash), it.news.own);
}

void CrashAttribution::OnSound(std::span<const PartKey> parts, TimePoint now) {
  for (const PartKey it : parts) {
    impl_->AddSound(it, now, impl_->news.own);
  }
}

PartVerdict CrashAttribution::Find(std::span<const PartKey> parts,
                                   TimePoint now) {
  impl_->Evaluate(now);
  PartVerdict verdict;
  for (const PartKey part : parts) {
    const auto found = impl_->quarantines.find(part);
    if (found == impl_->quarantines.end()) {
      continue;
    }
    const Quarantine& held = found->second;
    const TimePoint free_at = std::max(held.until, held.held_until);
    if (now < free_at) {
      return {PartState::kQuarantined, part, free_at - now};
    }
    verdict = {PartState::kProbing, part, {}};
  }
  return verdict;
}

PartVerdict CrashAttribution::Check(std::span<const PartKey> parts,
                                    TimePoint now) {
  const PartVerdict verdict = Find(parts, now);
  if (verdict.state != PartState::kProbing) {
    return verdict;
  }
  for (const PartKey part : parts) {
    const auto found = impl_->quarantines.find(part);
    if (found != impl_->quarantines.end()) {
      found->second.held_until = now + impl_->limits.probe_time;
      AddNews(impl_->news.own.quarantines, found->second);
    }
  }
  return verdict;
}

void CrashAttribution::Merge(const CrashFacts& facts, TimePoint now) {
  CrashFacts& relayed = impl_->news.relayed;
  for (const SoundAnswer& it : facts.sound) {
    impl_->AddSound(it.part, it.at, relayed);
  }
  for (const Crash& it : facts.crashes) {
    if (now - it.at <= impl_->limits.memory) {
      impl_->AddCrash(it, relayed);
    }
  }
  for (const Quarantine& it : facts.quarantines) {
    impl_->AddQuarantine(it);
  }
}

CrashNews CrashAttribution::TakeNews() {
  return std::exchange(impl_->news, {});
}

CrashFacts CrashAttribution::Current(TimePoint now) {
  Impl& it = *impl_;
  it.Forget(now);
  CrashFacts facts;
  for (const Crash& crash : it.crashes) {
    if (now - crash.at <= kRepeatedCrashes) {
      facts.crashes.push_back(crash);
    }
  }
  for (const auto& [part, held] : it.quarantines) {
    facts.quarantines.push_back(held);
  }
  return facts;
}

std::vector<Quarantine> CrashAttribution::TakeQuarantined() {
  return std::exchange(impl_->quarantined_news, {});
}

std::vector<PartKey> CrashAttribution::TakeFreed() {
  return std::exchange(impl_->freed_news, {});
}

std::vector<Quarantine> CrashAttribution::quarantines(TimePoint now) {
  impl_->Evaluate(now);
  std::vector<Quarantine> list;
  for (const auto& [part, held] : impl_->quarantines) {
    list.push_back(held);
  }
  return list;
}

}  // namespace peridotgate::coordination
