#include "global_shares.h"

#include <gtest/gtest.h>

namespace peridotgate::agent {
namespace {

wire::ShareReport Totals(std::int64_t large, std::int64_t small) {
  wire::ShareReport report;
  report.stage = wire::ShareStage::kTotal;
  for (const auto& [name, cost] :
       {std::pair("large", large), {"small", small}}) {
    wire::ServiceUse use;
    use.organisation = name;
    use.cost_tokens = cost;
    report.uses.push_back(std::move(use));
  }
  return report;
}

class GlobalSharesTest : public testing::Test {
 protected:
  GlobalSharesTest() {
    shares_.OnQueued("large", 1);
    shares_.OnQueued("small", 1);
    Serve();
  }

  // One period in which this server gives both the same service.
  void Serve() {
    shares_.OnServed("large", 1000);
    shares_.OnServed("small", 1000);
    shares_.EndPeriod();
  }

  double BoostRatio() const {
    return shares_.WeightBoost("small") / shares_.WeightBoost("large");
  }

  GlobalShares shares_;
};

TEST_F(GlobalSharesTest, TotalsReplaceEarlierTotals) {
  EXPECT_NEAR(BoostRatio(), 1, 0.01);
  shares_.OnReport(Totals(4000, 0));
  const double once = BoostRatio();
  EXPECT_GT(once, 1.5);
  {
    SCOPED_TRACE("a lasting error is corrected further, step by step");
    for (int i = 0; i < 20; ++i) {
      shares_.OnReport(Totals(4000, 0));
    }
    EXPECT_GT(BoostRatio(), 2 * once);
  }
  {
    SCOPED_TRACE("opposite totals reverse the correction");
    for (int i = 0; i < 60; ++i) {
      Serve();
      shares_.OnReport(Totals(0, 4000));
    }
    EXPECT_LT(BoostRatio(), 1);
  }
}

TEST_F(GlobalSharesTest, RareTotalsAndShortQueuesLowerTheGain) {
  shares_.OnReport(Totals(4000, 2000));
  const double short_queue = BoostRatio();
  for (int i = 0; i < 8; ++i) {
    shares_.OnQueued("large", 1);
  }
  const double frequent_totals = BoostRatio();
  EXPECT_GT(frequent_totals, short_queue);
  for (int i = 0; i < 200; ++i) {
    shares_.EndPeriod();
    if (i % 8 == 0) {
      shares_.OnReport(Totals(0, 0));
    }
  }
  shares_.OnReport(Totals(4000, 2000));
  EXPECT_LT(BoostRatio(), frequent_totals);
}

TEST_F(GlobalSharesTest, WithoutTotalsOnlyLocalServiceCounts) {
  shares_.OnReport(Totals(4000, 0));
  const double with_totals = BoostRatio();
  wire::ShareReport expired;
  expired.stage = wire::ShareStage::kTotal;
  shares_.OnReport(expired);
  const double without_totals = BoostRatio();
  EXPECT_LT(without_totals, with_totals);
  {
    SCOPED_TRACE("equal local service is no error; the correction stays");
    for (int i = 0; i < 60; ++i) {
      Serve();
    }
    EXPECT_NEAR(BoostRatio(), without_totals, 0.01);
  }
  {
    SCOPED_TRACE("unequal local service is corrected");
    for (int i = 0; i < 60; ++i) {
      shares_.OnServed("small", 2000);
      Serve();
    }
    EXPECT_LT(BoostRatio(), 1);
  }
}

TEST_F(GlobalSharesTest, IdleOrganisationBuildsUpNoCredit) {
  shares_.OnDequeued("small");
  shares_.OnReport(Totals(4000, 0));
  const double first = shares_.WeightBoost("small");
  const double ratio_before = BoostRatio();
  for (int i = 0; i < 50; ++i) {
    shares_.OnReport(Totals(4000, 0));
  }
  // "large" has waiting calls and is corrected; "small" has none and isn't.
  EXPECT_NEAR(shares_.WeightBoost("small"), first, 1e-9);
  EXPECT_GT(BoostRatio(), ratio_before);
}

TEST_F(GlobalSharesTest, ReportsWaitingAndSignificantOrganisations) {
  shares_.OnServed("tiny", 2);
  const wire::ShareReport reported = shares_.RecentService();
  ASSERT_EQ(reported.uses.size(), 2U);
  EXPECT_TRUE(reported.uses[0].backlogged);
  shares_.OnQueued("tiny", 1);
  EXPECT_EQ(shares_.RecentService().uses.size(), 3U);
  shares_.OnDequeued("tiny");
  EXPECT_EQ(shares_.RecentService().uses.size(), 2U);
}

}  // namespace
}  // namespace peridotgate::agent
