// Cost of the status queries of `status` and `apply` at the target fleet size.
#include <cstdio>
#include <string>

#include <gtest/gtest.h>
#include <spdlog/fmt/fmt.h>

#include "coordination/clock.h"
#include "operate/status_table.h"

namespace peridotgate::operate {
namespace {

constexpr int kEntries = 430;
constexpr int kAgents = 12000;
constexpr int kVersion = 46000;
// By chance, in 30 s of a digest a second from each process to a random one.
constexpr int kHeardByChance = 30;
constexpr std::size_t kMostBytes = 32 << 20;

std::string Line(int agent, int version) {
  return fmt::format(
      R"({{"instance":"agent-{0}.example","role":"agent","data_centre":)"
      R"("dc-{1}","address":"10.1.{2}.{3}:7000","target":"model:horn-1",)"
      R"("state":"alive","incarnation":1796000000000,"revision":3,)"
      R"("weights_version":7,"config_version":{4},"last_heard_ms":9000}})",
      agent, agent % 7, agent / 250, agent % 250, version);
}

std::string Body(const std::string& lines) {
  return "{\"members\":[" + lines + "]}";
}

TEST(StatusSize, GrowsLinearlyWithTheFleet) {
  const coordination::SteadyClock clock;
  StatusTable table;
  for (int i = 0; i < kEntries; ++i) {
    table.AddEntry(
        {fmt::format("entry-{}", i), "entry", "dc-0", "alive", kVersion, 0});
  }
  std::string whole;
  for (int i = 0; i < kAgents; ++i) {
    whole += (i > 0 ? "," : "") + Line(i, kVersion - 1);
  }
  std::size_t bytes = whole.size();
  const auto start = clock.Now();
  table.AddMembers(Body(whole));
  {
    SCOPED_TRACE("what one entry knows of all is a little old");
    EXPECT_EQ(table.statuses().size(), std::size_t{kEntries + kAgents});
    EXPECT_EQ(FindLagging(table.statuses(), kVersion).size(),
              std::size_t{kAgents});
  }
  for (int entry = 0; entry < kEntries; ++entry) {
    std::string heard;
    for (int i = entry; i < kAgents; i += kEntries) {
      heard += (heard.empty() ? "" : ",") + Line(i, kVersion);
    }
    for (int i = 0; i < kHeardByChance; ++i) {
      heard += "," + Line((entry * kHeardByChance + i) % kAgents, kVersion - 1);
    }
    bytes += heard.size();
    table.AddMembers(Body(heard));
  }
  {
    SCOPED_TRACE("what each tells its own entry is not");
    EXPECT_TRUE(FindLagging(table.statuses(), kVersion).empty());
    EXPECT_LE(bytes, kMostBytes);
  }
  std::printf(
      "status of %d instances: %.1f MB read, put together in %.0f ms\n",
      kEntries + kAgents, static_cast<double>(bytes) / 1e6,
      std::chrono::duration<double, std::milli>(clock.Now() - start).count());
}

}  // namespace
}  // namespace peridotgate::operate
