// Guards against missed version decreases, and against false reports caused by
// replies that cross a restart.
#include "prove/version_watch.h"

#include <gtest/gtest.h>

namespace peridotgate::prove {
namespace {

class VersionMonitorTest : public testing::Test {
 protected:
  std::optional<VersionDecrease> Report(std::int64_t version) {
    return monitor_.Observe("entry-0", monitor_.Incarnation("entry-0"),
                            version);
  }

  VersionMonitor monitor_;
};

TEST_F(VersionMonitorTest, AcceptsRisingVersions) {
  EXPECT_FALSE(Report(3));
  EXPECT_FALSE(Report(3));
  EXPECT_FALSE(Report(4));
}

TEST_F(VersionMonitorTest, ReportsEveryDecrease) {
  EXPECT_FALSE(Report(4));
  const auto decrease = Report(0);
  ASSERT_TRUE(decrease);
  EXPECT_EQ(decrease->from, 4);
  EXPECT_EQ(decrease->to, 0);
  EXPECT_TRUE(Report(3));
  EXPECT_FALSE(Report(4));
}

TEST_F(VersionMonitorTest, RestartResetsTheHighestVersion) {
  EXPECT_FALSE(Report(4));
  monitor_.OnRestart("entry-0");
  EXPECT_FALSE(Report(0));
  EXPECT_FALSE(Report(5));
  EXPECT_TRUE(Report(4));
}

TEST_F(VersionMonitorTest, IgnoresReplyOfAKilledProcess) {
  const std::uint64_t incarnation = monitor_.Incarnation("entry-0");
  monitor_.OnRestart("entry-0");
  EXPECT_FALSE(monitor_.Observe("entry-0", incarnation, 4));
  EXPECT_FALSE(Report(0));
}

TEST_F(VersionMonitorTest, IgnoresReplyToARequestFromBeforeARestart) {
  EXPECT_FALSE(Report(4));
  const std::uint64_t incarnation = monitor_.Incarnation("entry-0");
  monitor_.OnRestart("entry-0");
  EXPECT_FALSE(monitor_.Observe("entry-0", incarnation, 0));
}

}  // namespace
}  // namespace peridotgate::prove
