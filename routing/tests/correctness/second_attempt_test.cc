#include "routing/second_attempt.h"

#include <gtest/gtest.h>

namespace peridotgate::routing {
namespace {

using std::chrono::milliseconds;

TEST(SecondAttempt, TheDelayFollowsObservedFirstTokenTimes) {
  SecondAttemptPolicy policy;
  const milliseconds predicted(50);
  for (int i = 0; i < 20000; ++i) {
    policy.OnFirstToken(predicted, predicted + milliseconds(i % 100));
  }
  EXPECT_GT(policy.Delay(predicted), milliseconds(120));
  EXPECT_LT(policy.Delay(predicted), milliseconds(200));
}

TEST(SecondAttempt, TheCostStaysWithinTheBudget) {
  SecondAttemptLimits limits;
  SecondAttemptPolicy policy(limits);
  constexpr double kCost = 5000;
  constexpr int kCalls = 10000;
  int second = 0;
  for (int i = 0; i < kCalls; ++i) {
    policy.OnCall(kCost);
    second += policy.TryStart(kCost) ? 1 : 0;
  }
  EXPECT_LE(second * kCost, kCalls * kCost * limits.budget + limits.burst);
  EXPECT_GT(second, 0);
}

}  // namespace
}  // namespace peridotgate::routing
