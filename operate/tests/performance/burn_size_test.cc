// Cost of the burn report at the target load and number of organisations: bytes
// and time of one entry's /burn response and of the report over several.
#include <malloc.h>

#include <algorithm>
#include <cstdio>
#include <random>
#include <string>

#include <gtest/gtest.h>
#include <spdlog/fmt/fmt.h>

#include "entry/burn.h"
#include "operate/burn_report.h"
#include "runtime/gzip.h"

namespace peridotgate::operate {
namespace {

constexpr int kOrganisations = 650;
constexpr int kKinds = 4;
constexpr double kCallsPerSecond = 14000.0 / 430;  // Of one entry.
constexpr std::chrono::minutes kTime{390};
constexpr int kEntries = 430;
constexpr std::size_t kColumns = 100;
constexpr std::size_t kMostLines = 150;

double MsSince(coordination::TimePoint start) {
  const coordination::SteadyClock clock;
  return std::chrono::duration<double, std::milli>(clock.Now() - start).count();
}

std::vector<wire::OrganisationRules> MakeOrganisations() {
  std::vector<wire::OrganisationRules> all;
  for (int i = 0; i < kOrganisations; ++i) {
    wire::OrganisationRules it;
    it.name = fmt::format("shop-{:03}", i);
    it.share = 100.0 / kOrganisations;
    for (int k = 0; k < kKinds; ++k) {
      wire::KindRules kind;
      kind.name = fmt::format("kind-of-work-{}", k);
      kind.objective_ratio = 0.99;
      kind.first_token_objective_ms = 1500;
      kind.token_gap_objective_ms = 66;
      it.kinds.push_back(kind);
    }
    all.push_back(it);
  }
  return all;
}

// Upper bound: all separate series and those for the rest, in every period.
std::size_t MostBytes() {
  std::size_t periods = 0;
  for (const entry::BurnTier& it : entry::kBurnTiers) {
    periods += static_cast<std::size_t>(it.periods);
  }
  return (entry::kMostBurnKinds + entry::kMostBurnServers + 2) * periods *
         (sizeof(entry::BurnCounts) + sizeof(std::int64_t));
}

// One entry's counts after hours of the target's load.
std::string FillEntry() {
  std::mt19937_64 random(41);
  std::exponential_distribution<double> pause(kCallsPerSecond);
  std::uniform_int_distribution<std::size_t> organisation(0,
                                                          kOrganisations - 1);
  std::uniform_int_distribution<std::size_t> kind(0, kKinds - 1);
  std::uniform_int_distribution<std::int64_t> micros(0, 12000);
  std::uniform_int_distribution<std::int64_t> tokens(1, 6000);
  const auto organisations = MakeOrganisations();
  coordination::ManualClock clock;
  runtime::Metrics metrics;
  entry::BurnLog log(clock, metrics);
  const std::size_t heap = mallinfo2().uordblks;
  std::uint64_t calls = 0;
  const auto end = clock.Now() + kTime;
  while (clock.Now() < end) {
    clock.Advance(std::chrono::duration_cast<coordination::Duration>(
        std::chrono::duration<double>(pause(random))));
    const wire::OrganisationRules& rules = organisations[organisation(random)];
    entry::RouteCall call;
    call.request_id = {0, ++calls};
    call.dispatch.kind = rules.kinds[kind(random)].name;
    const entry::BurnScope scope(log, call, rules);
    const auto agent = static_cast<std::uint16_t>(1 + calls % 60);
    log.OnEvent({call.request_id,
                 entry::CallHead{200, "", {"10.0.0.1", agent}, false}});
    clock.Advance(coordination::Duration(micros(random)));
    log.OnEvent({call.request_id, entry::CallData{0, "a"}});
    clock.Advance(coordination::Duration(micros(random)));
    log.OnEvent({call.request_id, entry::CallData{1, "b"}});
    entry::CallEnd done;
    done.usage = {tokens(random), tokens(random), tokens(random)};
    log.OnEvent({call.request_id, done});
  }
  const std::size_t held = mallinfo2().uordblks - heap;
  std::printf("burn: %.1f MB of heap in one entry\n",
              static_cast<double>(held) / 1e6);
  EXPECT_LE(held, MostBytes());
  const coordination::SteadyClock steady;
  const auto start = steady.Now();
  std::string body = log.ToJson("entry-0", 3);
  std::printf("burn: %.2f MB from one entry, made in %.0f ms\n",
              static_cast<double>(body.size()) / 1e6, MsSince(start));
  std::printf("burn: %.2f MB packed\n",
              static_cast<double>(runtime::Gzip(body).size()) / 1e6);
  return body;
}

TEST(BurnSize, IsBoundedAtTheTargetLoad) {
  const std::string body = FillEntry();
  const coordination::SteadyClock clock;
  const auto start = clock.Now();
  const std::size_t heap = mallinfo2().uordblks;
  BurnMerge merge(entry::kDefaultBurnWindow);
  for (int i = 0; i < kEntries; ++i) {
    auto burn = ParseBurn(body, entry::kDefaultBurnWindow);
    ASSERT_TRUE(burn);
    burn->instance = fmt::format("entry-{}", i);
    merge.Add(*burn);
  }
  std::printf("burn: read and added in %.1f ms an entry, %.1f MB of heap\n",
              MsSince(start) / kEntries,
              static_cast<double>(mallinfo2().uordblks - heap) / 1e6);
  const BurnReport report = merge.MakeReport();
  EXPECT_EQ(report.kinds.size(),
            static_cast<std::size_t>(kOrganisations * kKinds));
  {
    SCOPED_TRACE("a person sees the worst, and how many more there are");
    const auto lines = ToText(report);
    EXPECT_LE(lines.size(), kMostLines);
    for (const std::string& it : lines) {
      EXPECT_LE(it.size(), kColumns);
    }
    EXPECT_TRUE(std::any_of(lines.begin(), lines.end(), [](const auto& it) {
      return it.find("2580 more") != std::string::npos;
    }));
  }
  std::printf(
      "burn: page of %.1f MB, JSON of %.1f MB\n",
      static_cast<double>(ToHtml(report, "now").size()) / 1e6,
      static_cast<double>(boost::json::serialize(ToJson(report)).size()) / 1e6);
}

}  // namespace
}  // namespace peridotgate::operate
