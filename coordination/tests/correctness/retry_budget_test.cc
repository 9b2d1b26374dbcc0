#include "coordination/retry_budget.h"

#include <string>

#include <gtest/gtest.h>

namespace peridotgate::coordination {
namespace {

TEST(RetryBudget, RetriesStayWithinTheRatioOfRequests) {
  const RetryBudgetLimits limits;
  RetryBudget budget(limits);
  int retries = 0;
  for (int i = 0; i < 1000; ++i) {
    const std::string who = i % 2 == 0 ? "tailors" : "rentals";
    budget.OnRequest(who);
    while (budget.TryRetry(who)) {
      ++retries;
    }
  }
  EXPECT_LE(retries, 1000 * limits.ratio + limits.burst);
  EXPECT_GT(retries, 0);
}

TEST(RetryBudget, AnOrganisationCannotUseUpRetriesOfAnother) {
  RetryBudget budget;
  for (int i = 0; i < 20; ++i) {
    budget.OnRequest("tailors");
    budget.OnRequest("rentals");
  }
  while (budget.TryRetry("tailors")) {
  }
  EXPECT_TRUE(budget.TryRetry("rentals"));
}

}  // namespace
}  // namespace peridotgate::coordination
