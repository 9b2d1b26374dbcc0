// Bounds repeated attempts to a part of the requests seen.
#ifndef COORDINATION_RETRY_BUDGET_H_
#define COORDINATION_RETRY_BUDGET_H_

#include <algorithm>
#include <string>
#include <string_view>
#include <unordered_map>

namespace peridotgate::coordination {

/** Bounds of a `RetryBudget`. */
struct RetryBudgetLimits {
  double ratio = 0.1;               // Retries for each request, in total.
  double organisation_ratio = 0.1;  // The same for one organisation.
  double burst = 10;                // Retries saved up at the most.
};

/**
 * A request earns a part of a retry, for its organisation and in total; a retry
 * takes a whole one from both.
 *
 *     budget.OnRequest("tailors");
 *     if (refused && budget.TryRetry("tailors")) { ... }
 */
class RetryBudget {
 public:
  explicit RetryBudget(RetryBudgetLimits limits = {})
      : limits_(limits), total_(limits.burst) {}

  void OnRequest(std::string_view organisation) {
    Earn(total_, limits_.ratio);
    Earn(Find(organisation), limits_.organisation_ratio);
  }

  /** Whether `TryRetry` would succeed now. */
  bool Allows(std::string_view organisation) {
    return total_ >= 1 && Find(organisation) >= 1;
  }

  /** Whether a retry is within both budgets; takes it from them if so. */
  bool TryRetry(std::string_view organisation) {
    double& own = Find(organisation);
    if (own < 1 || total_ < 1) {
      return false;
    }
    own -= 1;
    total_ -= 1;
    return true;
  }

 private:
  void Earn(double& balance, double ratio) const {
    balance = std::min(limits_.burst, balance + ratio);
  }
  double& Find(std::string_view organisation) {
    return organisations_.try_emplace(std::string(organisation), 1)
        .first->second;
  }

  RetryBudgetLimits limits_;
  double total_;
  std::unordered_map<std::string, double> organisations_;
};

}  // namespace peridotgate::coordination

#endif  // COORDINATION_RETRY_BUDGET_H_
