// Reading the configuration from the table while it changes, after its log was
// shortened, and by many processes at once.
#include "control/configuration_reader.h"

#include <gtest/gtest.h>

#include "../fake_table.h"
#include "control/configuration_rows.h"

namespace peridotgate::control {
namespace {

using coordination::ConfigurationFollower;

constexpr std::size_t kKept = 64;

void Accept(FakeTable& table, std::int64_t version, std::string name) {
  wire::ConfigChange change;
  change.version = version;
  wire::ConfigSection section;
  section.name = std::move(name);
  section.content = std::to_string(version);
  change.sections.push_back(section);
  auto done = RunToEnd(table.Commit(MakeChangeWrites(change), {}));
  ASSERT_TRUE(done.has_value());
}

TEST(ConfigurationReader, AColdStartDoesNotReplayTheLog) {
  FakeTable table;
  for (std::int64_t i = 1; i <= 6000; ++i) {
    Accept(table, i, "organisation/" + std::to_string(i % 650));
  }
  ConfigurationFollower follower(kKept);
  table.reads = 0;
  ASSERT_TRUE(RunToEnd(ReadConfiguration(table, follower)).value());
  EXPECT_EQ(follower.version(), 6000);
  EXPECT_EQ(follower.SectionVersion("organisation/0"), 5850);
  EXPECT_LE(table.reads, 4U);
  {
    SCOPED_TRACE("the log is bounded");
    EXPECT_LE(table.rows.size(), 650U + 1U + kRetainedChangeRows);
  }
  {
    SCOPED_TRACE("one that is current costs one read");
    table.reads = 0;
    EXPECT_FALSE(RunToEnd(ReadConfiguration(table, follower)).value());
    EXPECT_EQ(table.reads, 1U);
  }
}

TEST(ConfigurationReader, ChangesDuringTheReadingAreWhole) {
  FakeTable table;
  Accept(table, 1, "a");
  Accept(table, 2, "b");
  std::int64_t version = 2;
  table.before_query = [&](const std::string& partition) {
    if (partition == kSectionPartition && version < 4) {
      ++version;
      Accept(table, version, version % 2 == 1 ? "a" : "b");
    }
  };
  ConfigurationFollower follower(kKept);
  ASSERT_TRUE(RunToEnd(ReadConfiguration(table, follower)).value());
  EXPECT_EQ(follower.version(), version);
  EXPECT_EQ(follower.Find("a"), "3");
}

TEST(ConfigurationReader, WhoIsFarBehindReadsTheSections) {
  FakeTable table;
  ConfigurationFollower follower(kKept);
  Accept(table, 1, "a");
  ASSERT_TRUE(RunToEnd(ReadConfiguration(table, follower)).value());
  for (std::int64_t i = 2; i <= kRetainedChangeRows + 100; ++i) {
    Accept(table, i, "b");
  }
  ASSERT_TRUE(RunToEnd(ReadConfiguration(table, follower)).value());
  EXPECT_EQ(follower.version(), kRetainedChangeRows + 100);
  EXPECT_EQ(follower.SectionVersion("a"), 1);
}

TEST(ConfigurationReader, AHerdOfStartsCostsFewReadsEach) {
  FakeTable table;
  for (std::int64_t i = 1; i <= 650; ++i) {
    Accept(table, i, "organisation/" + std::to_string(i));
  }
  table.reads = 0;
  constexpr std::size_t kHerd = 60;
  for (std::size_t i = 0; i < kHerd; ++i) {
    ConfigurationFollower follower(kKept);
    ASSERT_TRUE(RunToEnd(ReadConfiguration(table, follower)).value());
    EXPECT_EQ(follower.version(), 650);
  }
  EXPECT_LE(table.reads, 4 * kHerd);
  RecordProperty("reads", std::to_string(table.reads));
}

}  // namespace
}  // namespace peridotgate::control
