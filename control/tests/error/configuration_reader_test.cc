// Guards against inconsistent or expensive configuration reads while it
// changes, after old change rows were trimmed, and when many processes start.
#include "control/configuration_reader.h"

#include <gtest/gtest.h>

#include "../fake_table.h"
#include "control/configuration_rows.h"

namespace peridotgate::control {
namespace {

using coordination::ConfigurationFollower;

constexpr std::size_t kRetainedChanges = 64;

void CommitSection(FakeTable& table, std::int64_t version, std::string name) {
  wire::ConfigChange change;
  change.version = version;
  wire::ConfigSection section;
  section.name = std::move(name);
  section.content = std::to_string(version);
  change.sections.push_back(section);
  auto committed = RunToEnd(table.Commit(MakeChangeWrites(change), {}));
  ASSERT_TRUE(committed.has_value());
}

TEST(ConfigurationReader, ColdStartReadsSectionsInsteadOfReplayingLog) {
  FakeTable table;
  for (std::int64_t i = 1; i <= 6000; ++i) {
    CommitSection(table, i, "organisation/" + std::to_string(i % 650));
  }
  ConfigurationFollower follower(kRetainedChanges);
  table.read_count = 0;
  ASSERT_TRUE(RunToEnd(ReadConfiguration(table, follower)).value());
  EXPECT_EQ(follower.version(), 6000);
  EXPECT_EQ(follower.SectionVersion("organisation/0"), 5850);
  EXPECT_LE(table.read_count, 4U);
  {
    SCOPED_TRACE("old change rows are trimmed");
    EXPECT_LE(table.rows.size(), 650U + 1U + kRetainedChangeRows);
  }
  {
    SCOPED_TRACE("a follower that is up to date needs one read");
    table.read_count = 0;
    EXPECT_FALSE(RunToEnd(ReadConfiguration(table, follower)).value());
    EXPECT_EQ(table.read_count, 1U);
  }
}

TEST(ConfigurationReader, ChangesDuringReadAreAppliedCompletely) {
  FakeTable table;
  CommitSection(table, 1, "a");
  CommitSection(table, 2, "b");
  std::int64_t version = 2;
  table.before_query = [&](const std::string& partition) {
    if (partition == kSectionPartition && version < 4) {
      ++version;
      CommitSection(table, version, version % 2 == 1 ? "a" : "b");
    }
  };
  ConfigurationFollower follower(kRetainedChanges);
  ASSERT_TRUE(RunToEnd(ReadConfiguration(table, follower)).value());
  EXPECT_EQ(follower.version(), version);
  EXPECT_EQ(follower.Find("a"), "3");
}

TEST(ConfigurationReader, FollowerBehindRetainedChangesReadsSections) {
  FakeTable table;
  ConfigurationFollower follower(kRetainedChanges);
  CommitSection(table, 1, "a");
  ASSERT_TRUE(RunToEnd(ReadConfiguration(table, follower)).value());
  for (std::int64_t i = 2; i <= kRetainedChangeRows + 100; ++i) {
    CommitSection(table, i, "b");
  }
  ASSERT_TRUE(RunToEnd(ReadConfiguration(table, follower)).value());
  EXPECT_EQ(follower.version(), kRetainedChangeRows + 100);
  EXPECT_EQ(follower.SectionVersion("a"), 1);
}

TEST(ConfigurationReader, ManyColdStartsCostFewReadsEach) {
  FakeTable table;
  for (std::int64_t i = 1; i <= 650; ++i) {
    CommitSection(table, i, "organisation/" + std::to_string(i));
  }
  table.read_count = 0;
  constexpr std::size_t kStarts = 60;
  for (std::size_t i = 0; i < kStarts; ++i) {
    ConfigurationFollower follower(kRetainedChanges);
    ASSERT_TRUE(RunToEnd(ReadConfiguration(table, follower)).value());
    EXPECT_EQ(follower.version(), 650);
  }
  EXPECT_LE(table.read_count, 4 * kStarts);
  RecordProperty("reads", std::to_string(table.read_count));
}

}  // namespace
}  // namespace peridotgate::control
