// Accepting changes while operators race, answers are lost, and the writer ends
// anywhere on its way.
#include "control/configuration_writer.h"

#include <gtest/gtest.h>

#include "../fake_table.h"
#include "control/configuration_reader.h"
#include "control/configuration_rows.h"

namespace peridotgate::control {
namespace {

using coordination::ConfigurationFollower;

constexpr std::size_t kOrganisations = 650;
constexpr WriterOptions kQuick{4, std::chrono::milliseconds(0),
                               std::chrono::milliseconds(0)};

std::string OrganisationName(std::size_t i) {
  return "organisation/" + std::to_string(i);
}

wire::ConfigChange ChangeOf(std::int64_t version,
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

wire::ConfigChange Removal(std::int64_t version) {
  wire::ConfigChange change = ChangeOf(version, 200, "");
  for (wire::ConfigSection& it : change.sections) {
    it.removed = true;
  }
  return change;
}

platform::Result<std::int64_t, AcceptFailure> Accept(
    FakeTable& table,
    const wire::ConfigChange& change) {
  return RunToEnd(AcceptChange(table, change, kQuick));
}

// How many sections begin with `content` in what a fresh reader gets.
struct Seen {
  std::int64_t version = 0;
  std::size_t sections = 0;
  std::size_t with_content = 0;
};

Seen Read(FakeTable& table, const std::string& content) {
  ConfigurationFollower follower(1);
  EXPECT_TRUE(RunToEnd(ReadConfiguration(table, follower)).has_value());
  Seen seen;
  seen.version = follower.version();
  for (const coordination::Section& it : follower.Snapshot()) {
    ++seen.sections;
    seen.with_content += it.content.starts_with(content) ? 1 : 0;
  }
  return seen;
}

bool IsSettled(const FakeTable& table) {
  return ReadHeadRow(table.rows.at(HeadKey())).has_all_section_rows();
}

TEST(ConfigurationWriter, ALargeChangeIsWholeWhereverItsWriterEnds) {
  std::size_t steps = 1;
  for (std::size_t last = 0; last <= steps; ++last) {
    SCOPED_TRACE("the writer ends after commit " + std::to_string(last));
    FakeTable table;
    ASSERT_TRUE(Accept(table, ChangeOf(1, kOrganisations, "old")).has_value());
    const std::size_t before = table.commits;
    steps = before;
    table.last_commit = before + last;
    const auto change = ChangeOf(2, kOrganisations, "new");
    EXPECT_EQ(Accept(table, change).has_value(), last > 1);
    table.last_commit.reset();
    {
      SCOPED_TRACE("a reader sees all of one version");
      const Seen seen = Read(table, last == 0 ? "old" : "new");
      EXPECT_EQ(seen.version, last == 0 ? 1 : 2);
      EXPECT_EQ(seen.sections, kOrganisations);
      EXPECT_EQ(seen.with_content, kOrganisations);
    }
    {
      SCOPED_TRACE("the next change finishes what was left");
      const std::int64_t next = last == 0 ? 2 : 3;
      ASSERT_TRUE(Accept(table, ChangeOf(next, 1, "next")).has_value());
      EXPECT_TRUE(IsSettled(table));
      const Seen seen = Read(table, "next");
      EXPECT_EQ(seen.version, next);
      EXPECT_EQ(seen.sections, kOrganisations);
      EXPECT_EQ(seen.with_content, 1U);
    }
  }
  EXPECT_GE(steps, kOrganisations / kMaxSectionsPerTransaction);
}

TEST(ConfigurationWriter, ALargeRemovalIsWholeAsWell) {
  FakeTable table;
  ASSERT_TRUE(Accept(table, ChangeOf(1, kOrganisations, "old")).has_value());
  table.last_commit = table.commits + 2;
  EXPECT_TRUE(Accept(table, Removal(2)).has_value());
  table.last_commit.reset();
  EXPECT_EQ(Read(table, "old").with_content, kOrganisations - 200);
  ASSERT_TRUE(RunToEnd(WritePendingSections(table, kQuick)).has_value());
  EXPECT_TRUE(IsSettled(table));
  EXPECT_EQ(Read(table, "old").with_content, kOrganisations - 200);
}

TEST(ConfigurationWriter, ASmallChangeDuringTheSettlingStands) {
  FakeTable table;
  const std::size_t meets = 4;
  table.before_commit = [&] {
    if (table.commits == meets) {
      table.before_commit = nullptr;
      ASSERT_TRUE(Accept(table, ChangeOf(2, 3, "small")).has_value());
    }
  };
  ASSERT_TRUE(Accept(table, ChangeOf(1, kOrganisations, "large")).has_value());
  EXPECT_TRUE(IsSettled(table));
  const Seen seen = Read(table, "small");
  EXPECT_EQ(seen.version, 2);
  EXPECT_EQ(seen.sections, kOrganisations);
  EXPECT_EQ(seen.with_content, 3U);
}

TEST(ConfigurationWriter, EveryAnswerLostIsStillAccepted) {
  FakeTable table;
  table.lose_answers = true;
  const auto change = ChangeOf(1, kOrganisations, "a");
  EXPECT_EQ(Accept(table, change).value(), 1);
  EXPECT_TRUE(IsSettled(table));
  {
    SCOPED_TRACE("asked for again, it is the same change");
    const std::size_t rows = table.rows.size();
    EXPECT_EQ(Accept(table, change).value(), 1);
    EXPECT_EQ(table.rows.size(), rows);
    EXPECT_EQ(Read(table, "a").version, 1);
  }
}

TEST(ConfigurationWriter, WhoLosesTheRaceIsToldWhoWon) {
  FakeTable table;
  const auto winner = ChangeOf(1, 2, "winner");
  table.before_commit = [&] {
    table.before_commit = nullptr;
    ASSERT_TRUE(Accept(table, winner).has_value());
    ASSERT_TRUE(Accept(table, ChangeOf(2, 1, "after")).has_value());
  };
  auto lost = Accept(table, ChangeOf(1, 2, "loser"));
  ASSERT_FALSE(lost.has_value());
  EXPECT_EQ(lost.error().error, AcceptError::kConflict);
  EXPECT_EQ(lost.error().winner->change_id, winner.change_id);
  EXPECT_EQ(lost.error().winner->author, "operator");
  EXPECT_EQ(lost.error().version, 2);
  EXPECT_EQ(Read(table, "loser").with_content, 0U);
}

TEST(ConfigurationWriter, ContentionIsNotALostRace) {
  FakeTable table;
  table.contended = 2;
  EXPECT_EQ(Accept(table, ChangeOf(1, 1, "a")).value(), 1);
}

TEST(ConfigurationWriter, ATableThatGoesAfterTheWriteLeavesItUnknown) {
  FakeTable table;
  table.last_commit = 1;
  const auto change = ChangeOf(1, 1, "a");
  EXPECT_EQ(Accept(table, change).error().error, AcceptError::kUnknown);
  {
    SCOPED_TRACE("and one that was never there, refused");
    FakeTable gone;
    gone.last_commit = 0;
    EXPECT_EQ(Accept(gone, change).error().error, AcceptError::kPlatform);
  }
  {
    SCOPED_TRACE("when it is back, the same change is found");
    table.last_commit.reset();
    EXPECT_EQ(Accept(table, change).value(), 1);
    EXPECT_EQ(Read(table, "a").version, 1);
  }
}

TEST(ConfigurationWriter, PartsGoWithTheirChange) {
  FakeTable table;
  ASSERT_TRUE(Accept(table, ChangeOf(1, kOrganisations, "a")).has_value());
  ASSERT_TRUE(table.rows.contains(PartKey(1, 2)));
  for (std::int64_t i = 2; i <= kRetainedChangeRows + 1; ++i) {
    ASSERT_TRUE(Accept(table, ChangeOf(i, 1, "b")).has_value());
  }
  EXPECT_FALSE(table.rows.contains(ChangeKey(1)));
  EXPECT_FALSE(table.rows.contains(PartKey(1, 0)));
  EXPECT_FALSE(table.rows.contains(PartKey(1, 2)));
}

TEST(ConfigurationWriter, TheLargestTransactionFits) {
  // Sections of just over half a row make the most parts.
  auto largest = ChangeOf(1, kMaxChangeBytes / (kMaxRowBytes / 2 + 64), "a");
  for (wire::ConfigSection& it : largest.sections) {
    it.content.resize(kMaxRowBytes / 2);
  }
  ASSERT_TRUE(IsAcceptable(largest));
  const std::size_t beside = 2;  // The head and the change.
  const std::size_t parts = MakeChangeWrites(largest).size() - beside;
  EXPECT_EQ(parts, largest.sections.size());
  const auto small =
      ChangeOf(kRetainedChangeRows + 1, kMaxSectionsPerTransaction, "b");
  ASSERT_FALSE(IsLarge(small));
  EXPECT_LE(MakeChangeWrites(small, static_cast<std::int32_t>(parts)).size(),
            kMaxTransactionRows);
}

TEST(ConfigurationWriter, WhatNoTransactionTakesIsRefused) {
  FakeTable table;
  auto change = ChangeOf(1, 1, "a");
  change.sections.front().content.resize(kMaxRowBytes);
  EXPECT_EQ(Accept(table, change).error().error, AcceptError::kTooLarge);
  EXPECT_EQ(table.commits, 0U);
}

TEST(ConfigurationWriter, CountsForSixHundredAndFiftyOrganisations) {
  FakeTable table;
  ASSERT_TRUE(Accept(table, ChangeOf(1, kOrganisations, "a")).has_value());
  std::printf("large change: %zu transactions, %zu rows, %zu reads\n",
              table.commits, table.written, table.reads);
  table.commits = table.written = table.reads = 0;
  ASSERT_TRUE(Accept(table, ChangeOf(2, 1, "b")).has_value());
  std::printf("small change: %zu transactions, %zu rows, %zu reads\n",
              table.commits, table.written, table.reads);
}

}  // namespace
}  // namespace peridotgate::control
