// One gateway's part of the retry budget that all gateways share.
#ifndef GATEWAY_RETRY_LIMITS_H_
#define GATEWAY_RETRY_LIMITS_H_

#include <algorithm>
#include <cstddef>
#include <optional>

#include "coordination/retry_budget.h"
#include "gateway/settings.h"

namespace peridotgate::gateway {

// The part of the shared budget that is used: gateways that start or stop make
// the shares overlap for a while.
inline constexpr double kBudgetUsed = 0.7;
// Gateways that are assumed while the others are not known, as after a restart
// of all at once.
inline constexpr std::size_t kAssumedGateways = 9;

/** The bounds for a gateway that is one of `gateways`, if that is known. */
inline coordination::RetryBudgetLimits RetryLimits(
    const GatewaySettings& settings,
    std::optional<std::size_t> gateways) {
  const std::size_t n =
      std::max<std::size_t>(1, gateways.value_or(kAssumedGateways));
  coordination::RetryBudgetLimits limits;
  limits.ratio = settings.retry_ratio * kBudgetUsed;
  limits.organisation_ratio = limits.ratio;
  limits.burst = kBudgetUsed * settings.retry_slack / static_cast<double>(n);
  return limits;
}

}  // namespace peridotgate::gateway

#endif  // GATEWAY_RETRY_LIMITS_H_
