// Guards against runs that pass although an expected fault or check never
// happened or a check failed.
#include "prove/report.h"

#include <gtest/gtest.h>

namespace peridotgate::prove {
namespace {

class ReportTest : public testing::Test {
 protected:
  ReportTest() {
    report_.Expect(Fault::kLinkCut);
    report_.Expect("no_call_hangs");
    report_.AddRequest();
  }

  Report report_{"some_property"};
};

TEST_F(ReportTest, FailsUntilExpectedFaultOccurred) {
  report_.Check("no_call_hangs", true);
  report_.AddFault(Fault::kAgentKilled);
  EXPECT_FALSE(report_.all_faults_occurred());
  EXPECT_FALSE(report_.passed());
  report_.AddFault(Fault::kLinkCut);
  EXPECT_TRUE(report_.all_faults_occurred());
  EXPECT_TRUE(report_.passed());
}

TEST_F(ReportTest, FailsIfExpectedCheckWasNeverEvaluated) {
  report_.AddFault(Fault::kLinkCut);
  EXPECT_TRUE(report_.all_faults_occurred());
  EXPECT_FALSE(report_.passed());
}

TEST_F(ReportTest, FailsIfAnyEvaluationOfACheckFailed) {
  report_.AddFault(Fault::kLinkCut);
  report_.Check("no_call_hangs", false, "call 7");
  report_.Check("no_call_hangs", true);
  EXPECT_FALSE(report_.passed());
}

}  // namespace
}  // namespace peridotgate::prove
