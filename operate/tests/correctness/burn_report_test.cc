#include "operate/burn_report.h"

#include <gtest/gtest.h>

namespace peridotgate::operate {
namespace {

constexpr std::int64_t kDayS = 86400;

BurnKind Kind(const std::string& organisation, double share) {
  BurnKind kind;
  kind.organisation = organisation;
  kind.kind = "quote";
  kind.share = share;
  kind.objective_ratio = 0.99;
  return kind;
}

// `calls` calls of which `bad` were bad, `age_s` ago, in the windows that reach
// back so far.
void Count(BurnKind& kind,
           std::int64_t age_s,
           std::int64_t calls,
           std::int64_t bad) {
  for (std::size_t i = 0; i < kBurnWindows.size(); ++i) {
    if (age_s < kBurnWindows[i].length.count()) {
      kind.windows[i].calls += calls;
      kind.windows[i].bad += bad;
    }
  }
  kind.bars.push_back({age_s, {calls, bad}});
  kind.counts.calls += calls;
  kind.counts.bad += bad;
  kind.counts.cost += calls;
  kind.counts.first_ms[5] += static_cast<std::int32_t>(calls);
}

BurnReport MakeReport(const std::vector<EntryBurn>& entries,
                      const std::vector<std::string>& missing,
                      const BurnWindow& window) {
  BurnMerge merge(window);
  for (const EntryBurn& it : entries) {
    merge.Add(it);
  }
  for (const std::string& it : missing) {
    merge.AddMissing(it);
  }
  return merge.MakeReport();
}

EntryBurn Entry(const std::string& name, std::int64_t uptime_s, BurnKind kind) {
  return {name, uptime_s, 1, {std::move(kind)}, {}};
}

TEST(BurnReport, ComputesEachWindowSeparately) {
  BurnKind kind = Kind("brazos", 100);
  Count(kind, 0, 100, 20);
  Count(kind, 1200, 900, 0);
  const auto report =
      MakeReport({Entry("e0", kDayS, kind)}, {}, kBurnWindows[2]);
  ASSERT_EQ(report.kinds.size(), 1U);
  const KindReport& it = report.kinds[0];
  EXPECT_NEAR(it.burn[0], 20, 0.001);
  EXPECT_NEAR(it.burn[1], 2, 0.001);
  EXPECT_NEAR(it.burn[2], 2, 0.001);
  EXPECT_NEAR(it.budget_left, -1, 0.001);
  EXPECT_EQ(it.alert, "") << "the short window alone fires nothing";
  EXPECT_EQ(report.coverage, 1);
}

TEST(BurnReport, FiresWhenBothWindowsBurn) {
  BurnKind kind = Kind("brazos", 100);
  Count(kind, 0, 100, 20);
  Count(kind, 1200, 100, 20);
  const auto report =
      MakeReport({Entry("e0", kDayS, kind)}, {}, kBurnWindows[2]);
  EXPECT_EQ(report.kinds[0].alert, "page");
}

TEST(BurnReport, UsesTheNewestRulesAmongEntries) {
  BurnKind older = Kind("brazos", 100);
  older.objective_ratio = 0.5;
  Count(older, 0, 10, 1);
  BurnKind newer = Kind("brazos", 100);
  Count(newer, 0, 10, 1);
  EntryBurn ahead = Entry("e1", kDayS, newer);
  ahead.rules_version = 2;
  for (const auto& entries : {std::vector{Entry("e0", kDayS, older), ahead},
                              std::vector{ahead, Entry("e0", kDayS, older)}}) {
    const auto report = MakeReport(entries, {}, kBurnWindows[2]);
    EXPECT_EQ(report.kinds[0].objective_ratio, 0.99);
    EXPECT_NEAR(report.kinds[0].burn[0], 10, 0.001);
  }
}

TEST(BurnReport, ReportsMissingAndRecentlyStartedEntries) {
  BurnKind kind = Kind("brazos", 100);
  Count(kind, 0, 10, 0);
  kind.counts.reasons[wire::Reason::kQueueFull] = 2;
  const auto report =
      MakeReport({Entry("e0", kDayS, kind), Entry("e1", 900, kind)}, {"e2"},
                 kBurnWindows[2]);
  {
    SCOPED_TRACE("counts of several entries add up");
    EXPECT_EQ(report.kinds[0].counts.calls, 20);
    EXPECT_EQ(report.kinds[0].bars[0].ratio.calls, 20);
  }
  {
    SCOPED_TRACE("an entry that restarted has seen a quarter of the window");
    ASSERT_EQ(report.recently_started.size(), 1U);
    EXPECT_EQ(report.recently_started[0], "e1 (started 900 s ago)");
    EXPECT_NEAR(report.coverage, 1.25 / 3, 0.001);
  }
  {
    SCOPED_TRACE("both are told, on lines that fit");
    bool told = false;
    for (const std::string& it : ToText(report)) {
      told |= it.starts_with("e2 did not answer");
      EXPECT_LE(it.size(), 100U) << it;
    }
    EXPECT_TRUE(told);
    ASSERT_EQ(report.refusals.size(), 1U);
    EXPECT_EQ(report.refusals[0].reason, "queue_full");
    EXPECT_EQ(report.refusals[0].calls, 4);
    EXPECT_NE(ToHtml(report, "now").find("e2 did not answer"),
              std::string::npos);
  }
}

TEST(BurnReport, FitsTheTerminalAtMaximumSize) {
  BurnKind kind = Kind("an-organisation-with-a-long-name", 100);
  kind.kind = "a-kind-of-work-with-a-long-name";
  kind.objective_ratio = 0.99999;
  Count(kind, 0, 999999, 999999);
  EntryBurn entry = Entry("entry-with-a-name-of-some-length", 1, kind);
  entry.servers.push_back({"[fd00:1234:5678::9abc:def0]:65535", kind.counts});
  const auto report = MakeReport({entry}, {"another"}, kBurnWindows[3]);
  for (const std::string& it : ToText(report)) {
    EXPECT_LE(it.size(), 100U) << it;
  }
}

TEST(BurnReport, ComparesSharesOfThoseWhoSentWork) {
  BurnKind large = Kind("brazos", 50);
  BurnKind small = Kind("tapetes", 25);
  BurnKind idle = Kind("idle", 25);
  Count(large, 0, 80, 0);
  Count(small, 0, 20, 0);
  small.counts.refused = 3;
  EntryBurn entry{"e0", kDayS, 1, {large, small, idle}, {}};
  const auto report = MakeReport({entry}, {}, kBurnWindows[2]);
  ASSERT_EQ(report.organisations.size(), 2U);
  EXPECT_NEAR(report.organisations[0].fair_share, 2.0 / 3, 0.001);
  EXPECT_EQ(report.organisations[0].standing(), "over");
  EXPECT_EQ(report.organisations[1].standing(), "under");
  EXPECT_NEAR(report.organisations[1].ratio(), 0.6, 0.001);
  EXPECT_TRUE(IsWorseServed(report.organisations[1], report.organisations[0]));
}

TEST(BurnReport, InterpolatesQuantilesWithinCells) {
  entry::BurnCells cells{};
  EXPECT_EQ(QuantileOf(cells, 0.95), 0);
  cells[6] = 100;  // From 100 to 200 ms.
  EXPECT_NEAR(QuantileOf(cells, 0.95), 195, 0.001);
}

}  // namespace
}  // namespace peridotgate::operate
