#include "coordination/fair_queue.h"

#include <map>
#include <random>
#include <string>

#include <gtest/gtest.h>

namespace peridotgate::coordination {
namespace {

TEST(FairQueue, BackloggedFlowsAreServedInProportionToWeights) {
  FairQueue<int> queue;
  std::mt19937 random(7);
  for (int i = 0; i < 3000; ++i) {
    queue.Push("one", 1, 1 + random() % 500, i);
    queue.Push("two", 2, 1 + random() % 100, i);
    queue.Push("three", 3, 1 + random() % 900, i);
  }
  std::map<std::string, double> served;
  for (int i = 0; i < 2000; ++i) {
    const auto next = queue.Pop();
    served[next->flow] += next->cost;
    SCOPED_TRACE("no flow gets ahead by more than its largest elements");
    ASSERT_LT(std::abs(served["one"] / 1 - served["two"] / 2), 1500);
    ASSERT_LT(std::abs(served["two"] / 2 - served["three"] / 3), 1500);
  }
}

TEST(FairQueue, IdleFlowsKeepNoCreditAndBoundedDebt) {
  FairQueue<int> queue(/*max_debt=*/1000);
  {
    SCOPED_TRACE("one flow is served while the other is idle");
    for (int i = 0; i < 100; ++i) {
      queue.Push("busy", 1, 100, i);
    }
    for (int i = 0; i < 50; ++i) {
      queue.Pop();
    }
  }
  {
    SCOPED_TRACE("the idle flow returns and gets half of the service, not all");
    for (int i = 0; i < 20; ++i) {
      queue.Push("late", 1, 100, i);
    }
    int late = 0;
    for (int i = 0; i < 20; ++i) {
      late += queue.Pop()->flow == "late" ? 1 : 0;
    }
    EXPECT_GE(late, 9);
    EXPECT_LE(late, 11);
  }
  {
    SCOPED_TRACE("a large correction does not starve a flow");
    while (queue.Pop()) {
    }
    queue.Correct("late", 1e9);
    for (int i = 0; i < 100; ++i) {
      queue.Push("busy", 1, 100, i);
    }
    queue.Push("late", 1, 100, 0);
    int before = 0;
    while (queue.Pop()->flow != "late") {
      ++before;
    }
    EXPECT_LE(before, 12);
  }
}

TEST(FairQueue, RemovalKeepsTheOrderOfOtherElements) {
  FairQueue<int> queue;
  queue.Push("one", 1, 10, 1);
  queue.Push("one", 1, 10, 2);
  queue.Push("two", 1, 10, 3);
  const auto is = [](int n) { return [n](int other) { return other == n; }; };
  EXPECT_EQ(queue.Remove("one", is(1)), 1);
  EXPECT_EQ(queue.Remove("one", is(1)), std::nullopt);
  EXPECT_EQ(queue.Remove("none", is(1)), std::nullopt);
  EXPECT_EQ(queue.size(), 2U);
  EXPECT_EQ(queue.Remove("two", is(3)), 3);
  EXPECT_EQ(queue.Pop()->element, 2);
  EXPECT_FALSE(queue.Pop());
  EXPECT_EQ(queue.BackloggedWeight(), 0);
}

}  // namespace
}  // namespace peridotgate::coordination
