#include "coordination/quota.h"

#include <algorithm>
#include <cmath>
#include <optional>
#include <random>

#include "coordination/ids.h"

namespace peridotgate::coordination {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Time over which the rate of a peer's charges is averaged.
constexpr double kRateWindowS = 1.0;
// A peer that serves callers reports within some milliseconds; the charges of
// one that is silent for longer than this are extrapolated.
constexpr Duration kReportDelay = milliseconds(150);
// Smallest burst, as time of the rate: without any, nothing could be admitted.
constexpr double kMinBurstS = 0.1;
// Part of the tolerance that is used when all instances have forgotten what was
// charged. They may do so more than once within its window.
constexpr double kToleranceUsed = 0.5;
// More instances need the tolerance for what they admit at the same moment.
constexpr double kTolerantInstances = 64;
// Share of the burst by which the level up to which requests are admitted
// varies.
constexpr double kThresholdSpread = 0.1;
// A bucket of this age counts as settled.
constexpr seconds kSettled{2};
// How much older than a bucket a peer may be for its whole counter to count.
constexpr seconds kSameStart{1};
// Below this share of heard instances, one admits only what fits.
constexpr double kMinHeardShare = 0.75;
// How long the share of peers that are heard is used before it is counted anew.
constexpr Duration kShareAge = milliseconds(5);
// How long an organisation that is no longer charged stays in the full reports.
constexpr seconds kRecent{10};
// Number of instances assumed until one is known.
constexpr std::size_t kUnknownInstances = 32;
// Callers that are refused are spread over at most this time.
constexpr double kMaxRetryAfterS = 5;
constexpr double kMinRetryAfterS = 0.05;
// Callers refused while a bucket is new come back within this time.
constexpr double kGatheringRetryS = 0.5;

double Seconds(Duration time) {
  return std::chrono::duration<double>(time).count();
}

QuotaDecision Refuse(double retry_after_s) {
  return {false, std::chrono::duration_cast<Duration>(
                     std::chrono::duration<double>(retry_after_s))};
}

}  // namespace

QuotaKey QuotaKeyOf(std::string_view organisation) {
  // FNV-1a: the library depends on no hash package.
  QuotaKey hash = 14695981039346656037ULL;
  for (const char it : organisation) {
    hash = (hash ^ static_cast<unsigned char>(it)) * 1099511628211ULL;
  }
  return hash;
}

struct QuotaLedger::Impl {
  // A live instance besides this one.
  struct Peer {
    std::size_t slot = 0;  // Index of its charges in each bucket.
    std::int64_t incarnation = 0;
    std::optional<TimePoint> heard_at;
  };

  // What a peer charged to one organisation.
  struct PeerCharge {
    bool known = false;        // It reported this organisation before.
    std::int64_t charged = 0;  // Its counter when it last reported.
    double rate_per_s = 0;     // Smoothed, as of `rate_at`.
    TimePoint rate_at{};
  };

  struct Bucket {
    QuotaLimit limit;
    double level = 0;
    TimePoint drained_at{};
    std::int64_t charged = 0;  // By this instance.
    TimePoint charged_at{};
    bool changed = false;  // Charged or refunded since the last report.
    TimePoint created_at{};
    bool tolerated = false;  // Part of the tolerance was used.
    bool settled = false;    // The level of an older peer was taken over.
    double variation = 0;    // Of the threshold, from 0 to 1.
    double offered = 0;  // Units requested here, decayed as of `offered_at`.
    TimePoint offered_at{};
    double refused = 0;  // Units refused that may come back.
    TimePoint refused_at{};
    std::vector<PeerCharge> peers;  // By slot.
  };

  std::mt19937_64 random;
  QuotaTolerance tolerance;
  std::unordered_map<QuotaKey, Bucket> buckets;
  std::unordered_map<std::string, Peer> peers;
  std::vector<std::size_t> free_slots;
  std::size_t slots = 0;
  std::size_t instances = kUnknownInstances;
  mutable double share = 0;  // As of `share_at`.
  mutable std::optional<TimePoint> share_at;

  bool IsHeard(const Peer& peer, TimePoint now) const {
    return peer.heard_at && now - *peer.heard_at <= kPeerTimeout;
  }

  double CountHeardShare(TimePoint now) const {
    const auto heard = static_cast<double>(
        1 + std::count_if(peers.begin(), peers.end(), [&](const auto& entry) {
          return IsHeard(entry.second, now);
        }));
    return std::min(1.0, heard / static_cast<double>(instances));
  }

  double HeardShare(TimePoint now) const {
    if (!share_at || now - *share_at > kShareAge) {
      share = CountHeardShare(now);
      share_at = now;
    }
    return share;
  }

  static double BurstOf(const Bucket& bucket) {
    return std::max(bucket.limit.burst, kMinBurstS * bucket.limit.rate_per_s);
  }

  // Drains by the present share for all the time since the last call: after a
  // pause, peers count as silent until they are heard again.
  void Drain(Bucket& bucket, TimePoint now) const {
    const double time = Seconds(now - bucket.drained_at);
    if (time <= 0) {
      return;
    }
    const double drained = time * bucket.limit.rate_per_s * HeardShare(now);
    bucket.level = std::max(0.0, bucket.level - drained);
    bucket.refused = std::max(
        0.0, bucket.refused - drained / static_cast<double>(instances));
    bucket.drained_at = now;
  }

  void VaryThreshold(Bucket& bucket) {
    bucket.variation = std::uniform_real_distribution<double>()(random);
  }

  static void RecordOffer(Bucket& bucket, double units, TimePoint now) {
    const double time = Seconds(now - bucket.offered_at);
    bucket.offered = bucket.offered * std::exp(-time / kRateWindowS) + units;
    bucket.offered_at = now;
  }

  static double OfferedPerS(const Bucket& bucket, TimePoint now) {
    constexpr double kMinAgeS = 0.1;
    const double age = Seconds(now - bucket.created_at);
    return bucket.offered / std::clamp(age, kMinAgeS, kRateWindowS);
  }

  bool IsSettled(const Bucket& bucket, TimePoint now) const {
    return bucket.settled || now - bucket.created_at >= kSettled;
  }

  // A bucket that starts full although nobody knows what was charged gets part
  // of the tolerance, once its instance hears the others.
  void UseTolerance(Bucket& bucket, TimePoint now) const {
    if (bucket.tolerated || HeardShare(now) < kMinHeardShare) {
      return;
    }
    bucket.tolerated = true;
    if (!bucket.settled) {
      const QuotaLimit& limit = bucket.limit;
      const double most =
          tolerance.ratio *
              (limit.rate_per_s * tolerance.window_s + limit.burst) +
          tolerance.slack;
      const double part =
          kToleranceUsed *
          std::min(1.0, kTolerantInstances / static_cast<double>(instances));
      bucket.level = std::max(0.0, bucket.level - part * most);
    }
  }

  // The level below which a request is admitted.
  double Threshold(const Bucket& bucket, double units, TimePoint now) const {
    const double burst = BurstOf(bucket);
    const double spread = kThresholdSpread * burst * bucket.variation;
    const bool settled = bucket.settled || now - bucket.created_at >= kSettled;
    if (settled && HeardShare(now) >= kMinHeardShare) {
      return burst + spread;
    }
    // What all instances admit before they hear of each other should fit.
    const double others = bucket.variation * static_cast<double>(instances) *
                          OfferedPerS(bucket, now) * Seconds(kReportDelay);
    return std::max(0.0, burst - std::max(units, others));
  }

  // By how much the bucket is too full for a request; negative if it has room.
  double Excess(const Bucket& bucket, double units, TimePoint now) const {
    const double level = bucket.level + Unreported(bucket, now);
    const double excess = level - Threshold(bucket, units, now);
    return level <= 0 ? std::min(excess, -1.0) : excess;
  }

  void AddCharge(Bucket& bucket, double units, TimePoint now) {
    VaryThreshold(bucket);
    bucket.level += units;
    bucket.charged += static_cast<std::int64_t>(std::llround(units));
    bucket.charged_at = now;
    bucket.changed = true;
  }

  void DrainAll(TimePoint now) {
    for (auto& [key, bucket] : buckets) {
      Drain(bucket, now);
    }
  }

  // Units that silent peers are assumed to have charged since their last
  // report.
  double Unreported(const Bucket& bucket, TimePoint now) const {
    double units = 0;
    for (const auto& [name, peer] : peers) {
      if (!peer.heard_at || peer.slot >= bucket.peers.size()) {
        continue;
      }
      const Duration silent = now - *peer.heard_at;
      const PeerCharge& charge = bucket.peers[peer.slot];
      if (silent <= kReportDelay || charge.rate_per_s <= 0) {
        continue;
      }
      const double quiet = Seconds(*peer.heard_at - charge.rate_at);
      const double rate =
          charge.rate_per_s * std::exp(-std::max(0.0, quiet) / kRateWindowS);
      units += rate * Seconds(std::min(silent, kPeerTimeout));
    }
    return units;
  }

  static void RecordCharge(PeerCharge& charge,
                           std::int64_t charged,
                           TimePoint now) {
    const auto units =
        charge.known ? static_cast<double>(charged - charge.charged) : 0;
    const double time = std::max(0.0, Seconds(now - charge.rate_at));
    charge.known = true;
    charge.rate_per_s =
        std::max(0.0, charge.rate_per_s * std::exp(-time / kRateWindowS) +
                          units / kRateWindowS);
    charge.rate_at = now;
    charge.charged = charged;
  }

  void OnReport(const Peer& peer,
                Duration uptime,
                const QuotaReport& report,
                TimePoint now) {
    auto found = buckets.find(report.organisation);
    if (found == buckets.end()) {
      return;
    }
    Bucket& bucket = found->second;
    Drain(bucket, now);
    if (bucket.peers.size() <= peer.slot) {
      bucket.peers.resize(slots);
    }
    PeerCharge& charge = bucket.peers[peer.slot];
    const auto units = static_cast<double>(report.charged - charge.charged);
    const auto level = static_cast<double>(report.level);
    const bool older = uptime > now - bucket.created_at + kSameStart;
    if (charge.known || !older) {
      bucket.level = std::max(0.0, bucket.level + units);
    } else if (!bucket.settled) {
      bucket.settled = true;
      bucket.level = std::max(0.0, level + static_cast<double>(bucket.charged));
    } else {
      // The counter may be old; the peer's level shows how much of it counts.
      bucket.level =
          std::max(bucket.level, std::min(level, bucket.level + units));
    }
    RecordCharge(charge, report.charged, now);
  }

  QuotaReport MakeReport(QuotaKey key, Bucket& bucket, TimePoint now) const {
    Drain(bucket, now);
    return {key, bucket.charged, static_cast<std::int64_t>(bucket.level)};
  }

  void AddPeer(const std::string& name) {
    Peer& peer = peers[name];
    if (free_slots.empty()) {
      peer.slot = slots++;
      return;
    }
    peer.slot = free_slots.back();
    free_slots.pop_back();
  }

  void RemovePeer(const Peer& peer) {
    free_slots.push_back(peer.slot);
    for (auto& [key, bucket] : buckets) {
      if (peer.slot < bucket.peers.size()) {
        bucket.peers[peer.slot] = {};
      }
    }
  }
};

QuotaLedger::QuotaLedger(std::uint64_t seed, QuotaTolerance tolerance)
    : impl_(std::make_unique<Impl>()) {
  impl_->random.seed(seed);
  impl_->tolerance = tolerance;
}
QuotaLedger::~QuotaLedger() = default;

void QuotaLedger::SetLimits(const QuotaLimits& limits, TimePoint now) {
  Impl& it = *impl_;
  std::erase_if(it.buckets, [&](const auto& entry) {
    return !limits.contains(entry.first);
  });
  for (const auto& [key, limit] : limits) {
    auto [found, added] = it.buckets.try_emplace(key);
    Impl::Bucket& bucket = found->second;
    if (added) {
      it.VaryThreshold(bucket);
      bucket.limit = limit;
      bucket.level = Impl::BurstOf(bucket);
      bucket.drained_at = now;
      bucket.created_at = now;
    }
    it.Drain(bucket, now);
    if (bucket.limit == limit) {
      continue;
    }
    bucket.limit = limit;
    // What was used under a higher limit does not count against a lower one.
    bucket.level = std::min(bucket.level, Impl::BurstOf(bucket));
  }
}

void QuotaLedger::SetPeers(std::span<const std::string> peers, TimePoint now) {
  Impl& it = *impl_;
  it.DrainAll(now);
  std::unordered_map<std::string, bool> named;
  for (const std::string& name : peers) {
    named[name] = true;
    if (!it.peers.contains(name)) {
      it.AddPeer(name);
    }
  }
  std::erase_if(it.peers, [&](const auto& entry) {
    if (named.contains(entry.first)) {
      return false;
    }
    it.RemovePeer(entry.second);
    return true;
  });
  it.instances = peers.size() + 1;
  it.share_at.reset();
}

bool QuotaLedger::active() const {
  return !impl_->buckets.empty();
}

bool QuotaLedger::WouldAdmit(QuotaKey organisation,
                             double units,
                             TimePoint now) const {
  const auto found = impl_->buckets.find(organisation);
  if (found == impl_->buckets.end()) {
    return true;
  }
  impl_->Drain(found->second, now);
  return impl_->Excess(found->second, units, now) < 0;
}

void QuotaLedger::Add(QuotaKey organisation, double units, TimePoint now) {
  const auto found = impl_->buckets.find(organisation);
  if (found != impl_->buckets.end()) {
    impl_->Drain(found->second, now);
    impl_->AddCharge(found->second, units, now);
  }
}

Duration QuotaLedger::TimeToRoom(QuotaKey organisation, TimePoint now) const {
  const auto found = impl_->buckets.find(organisation);
  if (found == impl_->buckets.end()) {
    return {};
  }
  impl_->Drain(found->second, now);
  const double rate =
      std::max(1e-9, found->second.limit.rate_per_s * impl_->HeardShare(now));
  constexpr double kMaxS = 3600;
  const double excess = std::max(0.0, impl_->Excess(found->second, 0, now));
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(std::min(kMaxS, excess / rate)));
}

std::size_t QuotaLedger::instances() const {
  return impl_->instances;
}

QuotaDecision QuotaLedger::Charge(QuotaKey organisation,
                                  double units,
                                  TimePoint now) {
  auto found = impl_->buckets.find(organisation);
  if (found == impl_->buckets.end()) {
    return {};
  }
  Impl::Bucket& bucket = found->second;
  impl_->Drain(bucket, now);
  impl_->UseTolerance(bucket, now);
  Impl::RecordOffer(bucket, units, now);
  const double excess = impl_->Excess(bucket, units, now);
  if (excess < 0) {
    impl_->AddCharge(bucket, units, now);
    return {};
  }
  if (!impl_->IsSettled(bucket, now)) {
    impl_->VaryThreshold(bucket);
    return Refuse(kMinRetryAfterS + kGatheringRetryS * bucket.variation);
  }
  // Those refused before, here and by the others, come back first.
  const auto instances = static_cast<double>(impl_->instances);
  const double rate =
      std::max(1e-9, bucket.limit.rate_per_s * impl_->HeardShare(now));
  const double wait = (excess + bucket.refused * instances) / rate;
  bucket.refused =
      std::min(bucket.refused + units,
               bucket.limit.rate_per_s * kMaxRetryAfterS / instances);
  return Refuse(std::clamp(wait, kMinRetryAfterS, kMaxRetryAfterS));
}

void QuotaLedger::Refund(QuotaKey organisation, double units, TimePoint now) {
  auto found = impl_->buckets.find(organisation);
  if (found == impl_->buckets.end()) {
    return;
  }
  Impl::Bucket& bucket = found->second;
  impl_->Drain(bucket, now);
  bucket.level = std::max(0.0, bucket.level - units);
  bucket.charged -= static_cast<std::int64_t>(std::llround(units));
  bucket.changed = true;
}

std::vector<QuotaReport> QuotaLedger::TakeChanges(TimePoint now) {
  std::vector<QuotaReport> reports;
  for (auto& [key, bucket] : impl_->buckets) {
    if (bucket.changed) {
      bucket.changed = false;
      reports.push_back(impl_->MakeReport(key, bucket, now));
    }
  }
  return reports;
}

QuotaReport QuotaLedger::Report(QuotaKey organisation, TimePoint now) const {
  const auto found = impl_->buckets.find(organisation);
  return found == impl_->buckets.end()
             ? QuotaReport{organisation, 0, 0}
             : impl_->MakeReport(organisation, found->second, now);
}

std::vector<QuotaReport> QuotaLedger::Recent(TimePoint now) const {
  std::vector<QuotaReport> reports;
  for (auto& [key, bucket] : impl_->buckets) {
    if (bucket.charged_at != TimePoint{} &&
        now - bucket.charged_at <= kRecent) {
      reports.push_back(impl_->MakeReport(key, bucket, now));
    }
  }
  return reports;
}

void QuotaLedger::OnReports(const QuotaSender& sender,
                            std::span<const QuotaReport> reports,
                            TimePoint now) {
  Impl& it = *impl_;
  const std::string name(sender.name);
  if (!it.peers.contains(name)) {
    // It started after the peers were listed.
    it.DrainAll(now);
    it.AddPeer(name);
    it.instances = std::max(it.instances, it.peers.size() + 1);
  }
  Impl::Peer& peer = it.peers[name];
  if (!it.IsHeard(peer, now)) {
    // Until now the peer counted as silent.
    it.DrainAll(now);
    it.share_at.reset();
  }
  if (peer.incarnation != sender.incarnation) {
    peer.incarnation = sender.incarnation;
    for (auto& [key, bucket] : it.buckets) {
      if (peer.slot < bucket.peers.size()) {
        bucket.peers[peer.slot] = {};
      }
    }
  }
  peer.heard_at = now;
  for (const QuotaReport& report : reports) {
    it.OnReport(peer, sender.uptime, report, now);
  }
}

double QuotaLedger::HeardShare(TimePoint now) const {
  return impl_->HeardShare(now);
}

bool QuotaLedger::IsGathering(TimePoint now) const {
  return std::any_of(
      impl_->buckets.begin(), impl_->buckets.end(),
      [&](const auto& entry) { return !impl_->IsSettled(entry.second, now); });
}

}  // namespace peridotgate::coordination
