// Guards against lost, partial or duplicate changes when operators race,
// responses are lost, or the writer stops at any point.
#include "control/configuration_writer.h"

#include <gtest/gtest.h>

#include "../fake_table.h"
#include "control/configuration_reader.h"
#include "control/configuration_rows.h"

namespace peridotgate::control {
namespace {

using coordination::ConfigurationFollower;

constexpr std::size_t kOrganisations = 650;
constexpr WriterOptions kWithoutPauses{4, std::chrono::milliseconds(0),
                                       std::chrono::milliseconds(0)};

std::string OrganisationName(std::size_t i) {
  return "organisation/" + std::to_string(i);
}

wire::ConfigChange MakeChange(std::int64_t version,
                              std::size_t sections,
                              const std::string& content) {
  wire::ConfigChange change;
  change.version = version;
  change.author = "operator";
  change.change_id = wire::ToWire(coordination::NewId());
  for (std::size_t i = 0; i < sections; ++i) {
    wire::ConfigSection section;
    section.name = OrganisationName(i);
    section.content = content + std::string(900, '.');
    change.sections.push_back(section);
  }
  return change;
}

wire::ConfigChange MakeRemoval(std::int64_t version) {
  wire::ConfigChange change = MakeChange(version, 200, "");
  for (wire::ConfigSection& it : change.sections) {
    it.removed = true;
  }
  return change;
}

platform::Result<std::int64_t, AcceptFailure> Commit(
    FakeTable& table,
    const wire::ConfigChange& change) {
  return RunToEnd(AcceptChange(table, change, kWithoutPauses));
}

// The configuration that a new reader gets; `with_content` counts the sections
// that begin with the expected content.
struct ReadResult {
  std::int64_t version = 0;
  std::size_t sections = 0;
  std::size_t with_content = 0;
};

ReadResult Read(FakeTable& table, const std::string& content) {
  ConfigurationFollower follower(1);
  EXPECT_TRUE(RunToEnd(ReadConfiguration(table, follower)).has_value());
  ReadResult result;
  result.version = follower.version();
  for (const coordination::Section& it : follower.Snapshot()) {
    ++result.sections;
    result.with_content += it.content.starts_with(content) ? 1 : 0;
  }
  return result;
}

bool HasAllSectionRows(const FakeTable& table) {
  return ReadHeadRow(table.rows.at(HeadKey())).has_all_section_rows();
}

TEST(ConfigurationWriter, LargeChangeIsAtomicWhereverItsWriterStops) {
  std::size_t total_commits = 1;
  for (std::size_t completed_commits = 0; completed_commits <= total_commits;
       ++completed_commits) {
    SCOPED_TRACE("the writer stops after commit " +
                 std::to_string(completed_commits));
    FakeTable table;
    ASSERT_TRUE(
        Commit(table, MakeChange(1, kOrganisations, "old")).has_value());
    const std::size_t commits_before = table.commit_count;
    total_commits = commits_before;
    table.fail_after_commits = commits_before + completed_commits;
    const auto change = MakeChange(2, kOrganisations, "new");
    EXPECT_EQ(Commit(table, change).has_value(), completed_commits > 1);
    table.fail_after_commits.reset();
    {
      SCOPED_TRACE("a reader sees one complete version");
      const ReadResult result =
          Read(table, completed_commits == 0 ? "old" : "new");
      EXPECT_EQ(result.version, completed_commits == 0 ? 1 : 2);
      EXPECT_EQ(result.sections, kOrganisations);
      EXPECT_EQ(result.with_content, kOrganisations);
    }
    {
      SCOPED_TRACE("the next change writes the pending sections");
      const std::int64_t next = completed_commits == 0 ? 2 : 3;
      ASSERT_TRUE(Commit(table, MakeChange(next, 1, "next")).has_value());
      EXPECT_TRUE(HasAllSectionRows(table));
      const ReadResult result = Read(table, "next");
      EXPECT_EQ(result.version, next);
      EXPECT_EQ(result.sections, kOrganisations);
      EXPECT_EQ(result.with_content, 1U);
    }
  }
  EXPECT_GE(total_commits, kOrganisations / kMaxSectionsPerTransaction);
}

TEST(ConfigurationWriter, LargeRemovalIsAtomicWhenItsWriterStops) {
  FakeTable table;
  ASSERT_TRUE(Commit(table, MakeChange(1, kOrganisations, "old")).has_value());
  table.fail_after_commits = table.commit_count + 2;
  EXPECT_TRUE(Commit(table, MakeRemoval(2)).has_value());
  table.fail_after_commits.reset();
  EXPECT_EQ(Read(table, "old").with_content, kOrganisations - 200);
  ASSERT_TRUE(
      RunToEnd(WritePendingSections(table, kWithoutPauses)).has_value());
  EXPECT_TRUE(HasAllSectionRows(table));
  EXPECT_EQ(Read(table, "old").with_content, kOrganisations - 200);
}

TEST(ConfigurationWriter, SmallChangeDuringPendingSectionWritesIsKept) {
  FakeTable table;
  const std::size_t interrupted_commit = 4;
  table.before_commit = [&] {
    if (table.commit_count == interrupted_commit) {
      table.before_commit = nullptr;
      ASSERT_TRUE(Commit(table, MakeChange(2, 3, "small")).has_value());
    }
  };
  ASSERT_TRUE(
      Commit(table, MakeChange(1, kOrganisations, "large")).has_value());
  EXPECT_TRUE(HasAllSectionRows(table));
  const ReadResult result = Read(table, "small");
  EXPECT_EQ(result.version, 2);
  EXPECT_EQ(result.sections, kOrganisations);
  EXPECT_EQ(result.with_content, 3U);
}

TEST(ConfigurationWriter, ChangeIsAcceptedWhenAllResponsesAreLost) {
  FakeTable table;
  table.lose_responses = true;
  const auto change = MakeChange(1, kOrganisations, "a");
  EXPECT_EQ(Commit(table, change).value(), 1);
  EXPECT_TRUE(HasAllSectionRows(table));
  {
    SCOPED_TRACE("a repeated request finds the same change");
    const std::size_t rows = table.rows.size();
    EXPECT_EQ(Commit(table, change).value(), 1);
    EXPECT_EQ(table.rows.size(), rows);
    EXPECT_EQ(Read(table, "a").version, 1);
  }
}

TEST(ConfigurationWriter, LoserOfRaceGetsWinningChange) {
  FakeTable table;
  const auto winner = MakeChange(1, 2, "winner");
  table.before_commit = [&] {
    table.before_commit = nullptr;
    ASSERT_TRUE(Commit(table, winner).has_value());
    ASSERT_TRUE(Commit(table, MakeChange(2, 1, "after")).has_value());
  };
  auto loser = Commit(table, MakeChange(1, 2, "loser"));
  ASSERT_FALSE(loser.has_value());
  EXPECT_EQ(loser.error().error, AcceptError::kConflict);
  EXPECT_EQ(loser.error().winner->change_id, winner.change_id);
  EXPECT_EQ(loser.error().winner->author, "operator");
  EXPECT_EQ(loser.error().version, 2);
  EXPECT_EQ(Read(table, "loser").with_content, 0U);
}

TEST(ConfigurationWriter, TransientConflictIsRetried) {
  FakeTable table;
  table.forced_conflicts = 2;
  EXPECT_EQ(Commit(table, MakeChange(1, 1, "a")).value(), 1);
}

TEST(ConfigurationWriter, OutcomeIsUnknownWhenTableFailsAfterWrite) {
  FakeTable table;
  table.fail_after_commits = 1;
  const auto change = MakeChange(1, 1, "a");
  EXPECT_EQ(Commit(table, change).error().error, AcceptError::kUnknown);
  {
    SCOPED_TRACE("a table that was never reachable");
    FakeTable unreachable;
    unreachable.fail_after_commits = 0;
    EXPECT_EQ(Commit(unreachable, change).error().error,
              AcceptError::kPlatform);
  }
  {
    SCOPED_TRACE("once reachable again, the same change is found");
    table.fail_after_commits.reset();
    EXPECT_EQ(Commit(table, change).value(), 1);
    EXPECT_EQ(Read(table, "a").version, 1);
  }
}

TEST(ConfigurationWriter, PartRowsAreTrimmedWithTheirChange) {
  FakeTable table;
  ASSERT_TRUE(Commit(table, MakeChange(1, kOrganisations, "a")).has_value());
  ASSERT_TRUE(table.rows.contains(PartKey(1, 2)));
  for (std::int64_t i = 2; i <= kRetainedChangeRows + 1; ++i) {
    ASSERT_TRUE(Commit(table, MakeChange(i, 1, "b")).has_value());
  }
  EXPECT_FALSE(table.rows.contains(ChangeKey(1)));
  EXPECT_FALSE(table.rows.contains(PartKey(1, 0)));
  EXPECT_FALSE(table.rows.contains(PartKey(1, 2)));
}

TEST(ConfigurationWriter, LargestTransactionFitsRowLimit) {
  // Sections slightly larger than half a row produce the most parts.
  auto largest = MakeChange(1, kMaxChangeBytes / (kMaxRowBytes / 2 + 64), "a");
  for (wire::ConfigSection& it : largest.sections) {
    it.content.resize(kMaxRowBytes / 2);
  }
  ASSERT_TRUE(IsAcceptable(largest));
  const std::size_t other_rows = 2;  // The head and change rows.
  const std::size_t parts = MakeChangeWrites(largest).size() - other_rows;
  EXPECT_EQ(parts, largest.sections.size());
  const auto small =
      MakeChange(kRetainedChangeRows + 1, kMaxSectionsPerTransaction, "b");
  ASSERT_FALSE(IsLarge(small));
  EXPECT_LE(MakeChangeWrites(small, static_cast<std::int32_t>(parts)).size(),
            kMaxTransactionRows);
}

TEST(ConfigurationWriter, ChangeTooLargeForTransactionIsRejected) {
  FakeTable table;
  auto change = MakeChange(1, 1, "a");
  change.sections.front().content.resize(kMaxRowBytes);
  EXPECT_EQ(Commit(table, change).error().error, AcceptError::kTooLarge);
  EXPECT_EQ(table.commit_count, 0U);
}

TEST(ConfigurationWriter, ReportsTableCallsForSixHundredAndFiftyOrganisations) {
  FakeTable table;
  ASSERT_TRUE(Commit(table, MakeChange(1, kOrganisations, "a")).has_value());
  std::printf("large change: %zu transactions, %zu rows, %zu reads\n",
              table.commit_count, table.rows_written, table.read_count);
  table.commit_count = table.rows_written = table.read_count = 0;
  ASSERT_TRUE(Commit(table, MakeChange(2, 1, "b")).has_value());
  std::printf("small change: %zu transactions, %zu rows, %zu reads\n",
              table.commit_count, table.rows_written, table.read_count);
}

}  // namespace
}  // namespace peridotgate::control
