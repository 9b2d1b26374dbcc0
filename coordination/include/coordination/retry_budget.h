// Limits retries to a fraction of the requests.
#ifndef COORDINATION_RETRY_BUDGET_H_
#define COORDINATION_RETRY_BUDGET_H_

#include <algorithm>
#include <string>
#include <string_view>
#include <unordered_map>

namespace peridotgate::coordination {

/** Limits of a `RetryBudget`. */
struct RetryBudgetLimits {
  double ratio = 0.1;  // Retries per request, over all organisations.
  double organisation_ratio = 0.1;  // Retries per request of one organisation.
  double burst = 10;                // Maximum number of accumulated retries.
};

/**
 * Each request adds a fraction of a retry to the budget of its organisation and
 * to the overall budget; each retry takes one from both.
 *
 *     budget.OnRequest("tailors");
 *     if (rejected && budget.TryRetry("tailors")) { ... }
 */
class RetryBudget {
 public:
  explicit RetryBudget(RetryBudgetLimits limits = {})
      : limits_(limits), total_(limits.burst) {}

  void OnRequest(std::string_view organisation) {
    Earn(total_, limits_.ratio);
    Earn(BalanceOf(organisation), limits_.organisation_ratio);
  }

  /** Whether `TryRetry` would succeed now, `retries` times in a row. */
  bool Allows(std::string_view organisation, int retries = 1) {
    return total_ >= retries && BalanceOf(organisation) >= retries;
  }

  /** Takes a retry from both budgets; returns false if either is exhausted. */
  bool TryRetry(std::string_view organisation) {
    double& own_balance = BalanceOf(organisation);
    if (own_balance < 1 || total_ < 1) {
      return false;
    }
    own_balance -= 1;
    total_ -= 1;
    return true;
  }

 private:
  void Earn(double& balance, double ratio) const {
    balance = std::min(limits_.burst, balance + ratio);
  }
  double& BalanceOf(std::string_view organisation) {
    return organisations_.try_emplace(std::string(organisation), 1)
        .first->second;
  }

  RetryBudgetLimits limits_;
  double total_;
  std::unordered_map<std::string, double> organisations_;
};

}  // namespace peridotgate::coordination

#endif  // COORDINATION_RETRY_BUDGET_H_
