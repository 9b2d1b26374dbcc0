#include "quotas.h"

#include <algorithm>
#include <string>

namespace peridotgate::gateway {

double QuotaCost(const Quota& quota, const CallerHead& request) {
  if (!quota.in_tokens) {
    return 1;
  }
  const std::int64_t tokens = request.prompt_tokens + request.output_tokens;
  return tokens > 0 ? static_cast<double>(tokens) : quota.plain_tokens;
}

void Quotas::OnRules(const Rules* rules, TimePoint now) {
  coordination::QuotaLimits limits;
  if (rules != nullptr) {
    for (const Organisation& it : rules->organisations()) {
      if (it.quota) {
        limits[coordination::QuotaKeyOf(it.name)] = {it.quota->rate_per_s,
                                                     it.quota->burst};
      }
    }
  }
  ledger_.SetLimits(limits, now);
}

void Quotas::SetPeers(std::span<const runtime::Endpoint> peers, TimePoint now) {
  std::vector<std::string> names;
  for (const runtime::Endpoint& it : peers) {
    names.push_back(runtime::ToString(it));
  }
  ledger_.SetPeers(names, now);
}

coordination::QuotaDecision Quotas::Charge(const Organisation& organisation,
                                           const CallerHead& request,
                                           TimePoint now,
                                           QuotaCharge& charge) {
  if (!organisation.quota) {
    return {};
  }
  const auto key = coordination::QuotaKeyOf(organisation.name);
  const double units = QuotaCost(*organisation.quota, request);
  const auto decision = ledger_.Charge(key, units, now);
  if (decision.admitted) {
    charge = {key, units};
  }
  Count(decision.admitted ? "charged" : "refused", units);
  return decision;
}

void Quotas::Refund(QuotaCharge& charge, TimePoint now) {
  if (charge.units > 0) {
    ledger_.Refund(charge.organisation, charge.units, now);
    Count("refunded", charge.units);
    charge = {};
  }
}

void Quotas::Count(std::string_view outcome, double units) {
  metrics_
      .GetCounter("peridotgate_gateway_quota_units_total",
                  {{"outcome", outcome}})
      .Add(static_cast<std::uint64_t>(std::max(0.0, units)));
}

}  // namespace peridotgate::gateway
