// Measures time and bytes to distribute a change, for several fan-outs. Prints
// the figures, and checks that all nodes are reached.
#include "../gossip_network.h"

#include <cstdio>

#include <gtest/gtest.h>

namespace peridotgate::coordination {
namespace {

constexpr std::size_t kNodes = 1243;
constexpr std::int64_t kChanges = 20;

struct SpreadFigures {
  std::int64_t median_ms = 0;
  std::int64_t p99_ms = 0;
  std::int64_t max_ms = 0;
};

// Measures the milliseconds until nodes have the version, in steps of 20 ms.
SpreadFigures Measure(GossipNetwork& network, std::int64_t version) {
  constexpr std::int64_t kStepMs = 20;
  SpreadFigures figures;
  const std::size_t n = network.size();
  for (std::int64_t ms = kStepMs; figures.max_ms == 0; ms += kStepMs) {
    network.Run(std::chrono::milliseconds(kStepMs));
    const std::size_t reached = network.Reached(version);
    auto record = [&](std::int64_t& figure, std::size_t wanted) {
      figure = figure == 0 && reached >= wanted ? ms : figure;
    };
    record(figures.median_ms, n / 2);
    record(figures.p99_ms, n * 99 / 100);
    record(figures.max_ms, n);
  }
  return figures;
}

void Report(GossipOptions options, const char* name) {
  GossipNetwork network(kNodes, options, {0.05, 0.01}, 21);
  network.Run(std::chrono::seconds(2));
  SpreadFigures worst;
  const std::uint64_t bytes = network.bytes().sent;
  const std::uint64_t messages = network.messages();
  const TimePoint start = network.clock().Now();
  for (std::int64_t i = 1; i <= kChanges; ++i) {
    network.Accept(0, ChangeOf(i));
    const SpreadFigures it = Measure(network, i);
    worst.median_ms = std::max(worst.median_ms, it.median_ms);
    worst.p99_ms = std::max(worst.p99_ms, it.p99_ms);
    worst.max_ms = std::max(worst.max_ms, it.max_ms);
  }
  const Duration time = network.clock().Now() - start;
  EXPECT_EQ(network.Reached(kChanges), network.size());
  const double digests = static_cast<double>(time.count()) / 1e6 * 59;
  const double per_node =
      static_cast<double>(network.bytes().sent - bytes) / kNodes - digests;
  std::printf(
      "spread %-12s p50 %4lld ms  p99 %4lld ms  all %4lld ms  "
      "%5.1f messages and %6.0f bytes a node and change beyond digests\n",
      name, static_cast<long long>(worst.median_ms),
      static_cast<long long>(worst.p99_ms),
      static_cast<long long>(worst.max_ms),
      static_cast<double>(network.messages() - messages) / kNodes / kChanges,
      per_node / kChanges);
}

TEST(ConfigurationSpread, AgainstFanOut) {
  GossipOptions options;
  for (std::size_t n : {2, 3, 4, 6, 8}) {
    options.fan_out = n;
    options.announce_with_changes = false;
    Report(options, ("digest " + std::to_string(n)).c_str());
    options.announce_with_changes = true;
    Report(options, ("changes " + std::to_string(n)).c_str());
  }
  options.announce_immediately = false;
  Report(options, "period only");
}

}  // namespace
}  // namespace peridotgate::coordination
