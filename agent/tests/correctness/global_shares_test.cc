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
    shares_.OnWaiting("large", 1);
    shares_.OnWaiting("small", 1);
    Serve();
  }

  // Half each, as this server alone would see it.
  void Serve() {
    shares_.OnServed("large", 1000);
    shares_.OnServed("small", 1000);
    shares_.EndPeriod();
  }

  double Lead() const {
    return shares_.WeightBoost("small") / shares_.WeightBoost("large");
  }

  GlobalShares shares_;
};

TEST_F(GlobalSharesTest, TotalsTakeThePlaceOfEarlierOnes) {
  EXPECT_NEAR(Lead(), 1, 0.01);
  shares_.OnReport(Totals(4000, 0));
  const double once = Lead();
  EXPECT_GT(once, 1.5);
  {
    SCOPED_TRACE("what lasts is corrected further, by steps");
    for (int i = 0; i < 20; ++i) {
      shares_.OnReport(Totals(4000, 0));
    }
    EXPECT_GT(Lead(), 2 * once);
  }
  {
    SCOPED_TRACE("even totals end the error at once, and the steps unwind");
    for (int i = 0; i < 60; ++i) {
      Serve();
      shares_.OnReport(Totals(0, 4000));
    }
    EXPECT_LT(Lead(), 1);
  }
}

TEST_F(GlobalSharesTest, RareTotalsAndCalmServersAreAnsweredLess) {
  shares_.OnReport(Totals(4000, 2000));
  const double calm = Lead();
  for (int i = 0; i < 8; ++i) {
    shares_.OnWaiting("large", 1);
  }
  const double often = Lead();
  EXPECT_GT(often, calm);
  for (int i = 0; i < 200; ++i) {
    shares_.EndPeriod();
    if (i % 8 == 0) {
      shares_.OnReport(Totals(0, 0));
    }
  }
  shares_.OnReport(Totals(4000, 2000));
  EXPECT_LT(Lead(), often);
}

TEST_F(GlobalSharesTest, ExpiredTotalsLeaveItsOwnCounts) {
  shares_.OnReport(Totals(4000, 0));
  const double told = Lead();
  wire::ShareReport expired;
  expired.stage = wire::ShareStage::kTotal;
  shares_.OnReport(expired);
  const double left = Lead();
  EXPECT_LT(left, told);
  {
    SCOPED_TRACE("half each here is no error, and what was learned stays");
    for (int i = 0; i < 60; ++i) {
      Serve();
    }
    EXPECT_NEAR(Lead(), left, 0.01);
  }
  {
    SCOPED_TRACE("what it gives itself is corrected again");
    for (int i = 0; i < 60; ++i) {
      shares_.OnServed("small", 2000);
      Serve();
    }
    EXPECT_LT(Lead(), 1);
  }
}

TEST_F(GlobalSharesTest, WhoAsksForLittleGathersNoLead) {
  shares_.OnTaken("small");
  shares_.OnReport(Totals(4000, 0));
  const double first = shares_.WeightBoost("small");
  const double lead = Lead();
  for (int i = 0; i < 50; ++i) {
    shares_.OnReport(Totals(4000, 0));
  }
  // The large one waits and is corrected; the small one is not.
  EXPECT_NEAR(shares_.WeightBoost("small"), first, 1e-9);
  EXPECT_GT(Lead(), lead);
}

TEST_F(GlobalSharesTest, TellsWhatIsWaitingAndWhatCounts) {
  shares_.OnServed("tiny", 2);
  const wire::ShareReport given = shares_.RecentService();
  ASSERT_EQ(given.uses.size(), 2U);
  EXPECT_TRUE(given.uses[0].backlogged);
  shares_.OnWaiting("tiny", 1);
  EXPECT_EQ(shares_.RecentService().uses.size(), 3U);
  shares_.OnTaken("tiny");
  EXPECT_EQ(shares_.RecentService().uses.size(), 2U);
}

}  // namespace
}  // namespace peridotgate::agent
