// Enforces a token-bucket quota per organisation over many instances, which
// tell each other what they charged. Answers the load at which one organisation
// sends more than its limit through all instances at once. No I/O.
#ifndef COORDINATION_QUOTA_H_
#define COORDINATION_QUOTA_H_

#include <cstddef>
#include <cstdint>
#include <memory>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "coordination/clock.h"

namespace peridotgate::coordination {

/** Identifies an organisation: a hash of its name, equal in all instances. */
using QuotaKey = std::uint64_t;

QuotaKey QuotaKeyOf(std::string_view organisation);

/** A limit over all instances, in units (requests or tokens). */
struct QuotaLimit {
  double rate_per_s = 0;
  double burst = 0;
  bool operator==(const QuotaLimit&) const = default;
};

/** The instance that sends reports. */
struct QuotaSender {
  std::string_view name;
  std::int64_t incarnation = 0;
  Duration uptime{};  // Since this incarnation started to count.
};

/** By how much a limit may be exceeded, over all instances. */
struct QuotaTolerance {
  double window_s = 0;  // In any window of this length,
  double ratio = 0;     // by this part of the rate and burst,
  double slack = 0;     // and this number of units.
};

using QuotaLimits = std::unordered_map<QuotaKey, QuotaLimit>;

/** What an instance tells the others about one organisation. */
struct QuotaReport {
  QuotaKey organisation = 0;
  // Units charged since the instance started, without those refunded.
  std::int64_t charged = 0;
  // Its estimate of the bucket over all instances.
  std::int64_t level = 0;
};

/** Whether a request is within its organisation's quota. */
struct QuotaDecision {
  bool admitted = true;
  Duration retry_after{};  // If refused: until the bucket has room again.
};

/**
 * One instance's copy of the buckets. The level of a bucket rises with what all
 * instances charge and drains at the limit's rate; requests are admitted while
 * it is below the burst, whatever their size, as a check of the sum would
 * starve large requests.
 *
 * Counters are cumulative, so a lost report is made up for by the next one. An
 * instance that is not heard any more is first assumed to charge as before,
 * later to use an even share of the rate, which is all that an instance without
 * peers uses. The sum over the parts of a partitioned fleet thus stays within
 * the rate. While an instance cannot know what others charged, it admits only
 * what fits below the burst.
 *
 * The level up to which an instance admits varies a little at random, so that
 * not all of them admit a request at the same moment when the bucket has room.
 *
 *     if (!quota.Charge(key, units, now).admitted) { Refuse(429); }
 *     ...
 *     Send(quota.TakeChanges(now));
 *     quota.OnReports(sender, reports, now);
 */
class QuotaLedger {
 public:
  /** An instance that is silent for longer is assumed to use an even share. */
  static constexpr Duration kPeerTimeout = std::chrono::milliseconds(1500);

  /** `seed` should differ between instances. When all instances forget what was
   * charged, half of the tolerance is used until they know again. */
  explicit QuotaLedger(std::uint64_t seed = 0, QuotaTolerance tolerance = {});
  ~QuotaLedger();

  /** Sets the limits in force. A bucket that is new has nothing of its burst
   * left, as its organisation may have used it through other instances, but
   * what the tolerance allows. */
  void SetLimits(const QuotaLimits& limits, TimePoint now);
  /** Sets the live instances besides this one. */
  void SetPeers(std::span<const std::string> peers, TimePoint now);

  /** Whether any limit is in force. */
  bool active() const;

  /** Charges `units` if the organisation has quota left; organisations without
   * a limit always have. */
  QuotaDecision Charge(QuotaKey organisation, double units, TimePoint now);
  /** Whether `Charge` would admit the request. */
  bool WouldAdmit(QuotaKey organisation, double units, TimePoint now) const;
  /** Charges units that were used whether there was quota left or not. */
  void Add(QuotaKey organisation, double units, TimePoint now);
  /** How long it takes until the bucket has room for one request more, if no
   * instance charges it meanwhile. */
  Duration TimeToRoom(QuotaKey organisation, TimePoint now) const;
  /** Returns units that were charged for a request that did not run. */
  void Refund(QuotaKey organisation, double units, TimePoint now);

  /** The organisations charged since the last call. */
  std::vector<QuotaReport> TakeChanges(TimePoint now);
  /** The report of one organisation, also if it was not charged. */
  QuotaReport Report(QuotaKey organisation, TimePoint now) const;
  /** The organisations charged within the last seconds, so that reports that
   * were lost are made up for. */
  std::vector<QuotaReport> Recent(TimePoint now) const;

  /** Applies a peer's reports; empty ones show that it lives. A sender that is
   * not listed counts as a peer until the next list. Reports of one
   * peer must come in the order in which it sent them. */
  void OnReports(const QuotaSender& sender,
                 std::span<const QuotaReport> reports,
                 TimePoint now);

  /** Share of the rates that this instance and the peers that it hears may use,
   * from 1 / instances to 1. */
  double HeardShare(TimePoint now) const;

  /** The number of live instances, this one included. */
  std::size_t instances() const;

  /** Whether reports should be sent often: this instance or one of its peers
   * has started, and they do not hear each other yet. */
  bool IsGathering(TimePoint now) const;

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace peridotgate::coordination

#endif  // COORDINATION_QUOTA_H_
