// Applies the quotas of organisations to requests: what a request costs, and
// which limits are in force.
#ifndef GATEWAY_QUOTAS_H_
#define GATEWAY_QUOTAS_H_

#include <span>
#include <string_view>
#include <vector>

#include "coordination/ids.h"
#include "coordination/quota.h"
#include "gateway/protocol.h"
#include "gateway/rules.h"
#include "runtime/metrics.h"

namespace peridotgate::gateway {

using coordination::TimePoint;

/** What was charged for one request, so that it can be refunded. */
struct QuotaCharge {
  coordination::QuotaKey organisation = 0;
  double units = 0;  // 0: nothing was charged.
};

/** What a request costs, in the quota's unit. */
double QuotaCost(const Quota& quota, const CallerHead& request);

/** Used on the traffic thread. */
class Quotas {
 public:
  Quotas(runtime::Metrics& metrics, coordination::QuotaTolerance tolerance)
      : metrics_(metrics), ledger_(coordination::NewId().low, tolerance) {}

  /** Takes over the limits of the rules; none if `rules` is null. */
  void OnRules(const Rules* rules, TimePoint now);
  void SetPeers(std::span<const runtime::Endpoint> peers, TimePoint now);

  /** Charges the request to its organisation if it has quota left. */
  coordination::QuotaDecision Charge(const Organisation& organisation,
                                     const CallerHead& request,
                                     TimePoint now,
                                     QuotaCharge& charge);
  /** Returns what was charged for a request that did not run. */
  void Refund(QuotaCharge& charge, TimePoint now);

  /** The exchange with the peers. */
  coordination::QuotaLedger& ledger() { return ledger_; }

 private:
  void Count(std::string_view outcome, double units);

  runtime::Metrics& metrics_;
  coordination::QuotaLedger ledger_;
};

}  // namespace peridotgate::gateway

#endif  // GATEWAY_QUOTAS_H_
