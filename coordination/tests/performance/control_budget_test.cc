// Measures the configuration's bandwidth per node and the time until changes
// reach all nodes, at the average rate of changes and at ten times that rate.
#include <cstdio>
#include <cstdlib>
#include <deque>
#include <string>

#include <gtest/gtest.h>

#include "../gossip_network.h"

namespace peridotgate::coordination {
namespace {

constexpr std::size_t kSections = 40;
constexpr std::size_t kSectionBytes = 660;  // An organisation with eight kinds.
constexpr std::size_t kSmallSectionBytes = 358;  // With four kinds.
constexpr std::size_t kEditBytes = 8;            // A wait time or a share.
constexpr std::size_t kEditOffset = 300;
constexpr double kAverageChangesPerSecond = 0.53;
constexpr std::chrono::seconds kMaxSpreadTime{9};
constexpr std::chrono::seconds kMeasuredTime{60};
// Bytes per second: a node's 10 KB less the 1.4 KB for membership.
constexpr double kBudget = 10e3 - 1.4e3;

// Returns 1,243 by default, a tenth of the target to keep the test short, or
// the number set in the environment.
std::size_t NodesToMeasure() {
  constexpr std::size_t kNodes = 1243;
  const char* override_value = std::getenv("PERIDOTGATE_SPREAD_NODES");
  return override_value == nullptr ? kNodes : std::stoul(override_value);
}

std::string RandomText(RandomEngine& random, std::size_t n) {
  std::uniform_int_distribution<int> draw('a', 'z');
  std::string text;
  for (std::size_t i = 0; i < n; ++i) {
    text.push_back(static_cast<char>(draw(random)));
  }
  return text;
}

// Sections that change either in a few bytes or completely.
class Sections {
 public:
  explicit Sections(bool small_edits) : small_edits_(small_edits) {
    for (std::size_t i = 0; i < kSections; ++i) {
      all_.push_back({"organisation/shop-" + std::to_string(i),
                      RandomText(random_, kSectionBytes), false, 1});
    }
  }

  const std::vector<Section>& all() const { return all_; }

  Change Next(std::int64_t version) {
    Section& it = all_[static_cast<std::size_t>(version) % kSections];
    if (small_edits_) {
      it.content.replace(kEditOffset, kEditBytes,
                         RandomText(random_, kEditBytes));
    } else {
      it.content = RandomText(random_, kSectionBytes);
    }
    Change change;
    change.version = version;
    change.sections = {it};
    return change;
  }

 private:
  bool small_edits_;
  RandomEngine random_{31};
  std::vector<Section> all_;
};

struct Figures {
  double sent_per_second = 0;
  double received_per_second = 0;
  Duration longest{};
};

// Removes the changes that have reached all nodes from `pending`, and records
// the longest time that one took.
void RecordReached(const GossipNetwork& network,
                   std::deque<TimePoint>& pending,
                   std::int64_t newest,
                   Figures& figures) {
  while (!pending.empty()) {
    const auto version = newest - static_cast<std::int64_t>(pending.size()) + 1;
    if (network.Reached(version) < network.size()) {
      return;
    }
    figures.longest =
        std::max(figures.longest, network.clock().Now() - pending.front());
    pending.pop_front();
  }
}

Figures Measure(bool small_edits, double per_second) {
  constexpr Duration kStep = std::chrono::milliseconds(20);
  const std::size_t nodes = NodesToMeasure();
  GossipNetwork network(nodes, {}, {0.05, 0.01}, 23);
  Sections sections(small_edits);
  for (std::size_t i = 0; i < nodes; ++i) {
    network.follower(i).ApplySnapshot(1, sections.all());
  }
  network.Run(std::chrono::seconds(2));
  Figures figures;
  const NetworkBytes before = network.bytes();
  const TimePoint start = network.clock().Now();
  const auto interval = std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(1 / per_second));
  std::int64_t version = 1;
  TimePoint next = start;
  std::deque<TimePoint> pending;
  while (network.clock().Now() - start < kMeasuredTime) {
    if (network.clock().Now() >= next) {
      network.Accept(0, sections.Next(++version));
      pending.push_back(network.clock().Now());
      next += interval;
    }
    network.Run(kStep);
    RecordReached(network, pending, version, figures);
  }
  const double node_seconds =
      static_cast<double>(nodes) *
      std::chrono::duration<double>(kMeasuredTime).count();
  figures.sent_per_second =
      static_cast<double>(network.bytes().sent - before.sent) / node_seconds;
  figures.received_per_second =
      static_cast<double>(network.bytes().received - before.received) /
      node_seconds;
  const TimePoint end = network.clock().Now();
  while (!pending.empty() && network.clock().Now() - end < kMaxSpreadTime) {
    network.Run(kStep);
    RecordReached(network, pending, version, figures);
  }
  EXPECT_TRUE(pending.empty());
  return figures;
}

void Report(const char* name, bool small_edits, double per_second) {
  const Figures it = Measure(small_edits, per_second);
  std::printf(
      "budget %-6s %4.2f changes/s: %5.0f B/s sent, %5.0f B/s received, all "
      "within %lld ms\n",
      name, per_second, it.sent_per_second, it.received_per_second,
      static_cast<long long>(
          std::chrono::duration_cast<std::chrono::milliseconds>(it.longest)
              .count()));
  EXPECT_LE(it.longest, kMaxSpreadTime);
  EXPECT_LE(it.sent_per_second + it.received_per_second, kBudget);
}

TEST(ControlBudget, HoldsAtAverageAndPeakRates) {
  Report("edits", true, kAverageChangesPerSecond);
  Report("edits", true, 10 * kAverageChangesPerSecond);
  Report("whole", false, kAverageChangesPerSecond);
  Report("whole", false, 10 * kAverageChangesPerSecond);
}

// The first configuration of all organisations: the processes that read the
// table get it within one of their periods, all others from peers.
TEST(ControlBudget, FirstLoadReachesAllInTime) {
  constexpr std::size_t kOrganisations = 650;
  constexpr std::size_t kReaders = 21;  // 3 in each of 7 data centres.
  constexpr Duration kReaderPeriod = std::chrono::milliseconds(500);
  constexpr Duration kStep = std::chrono::milliseconds(20);
  RandomEngine random(37);
  Change first;
  first.version = 1;
  for (std::size_t i = 0; i < kOrganisations; ++i) {
    first.sections.push_back({"organisation/shop-" + std::to_string(i),
                              RandomText(random, kSmallSectionBytes), false,
                              0});
  }
  NetworkFaults faults{0.05, 0.01};
  faults.connections = true;
  const std::size_t nodes = NodesToMeasure();
  GossipNetwork network(nodes, {}, faults, 23);
  network.Run(std::chrono::seconds(2));
  const NetworkBytes before = network.bytes();
  const TimePoint start = network.clock().Now();
  for (std::size_t i = 0; i < kReaders; ++i) {
    network.Accept(i * (nodes / kReaders), first);
    network.Run(kReaderPeriod / kReaders);
  }
  while (network.Reached(1) < nodes &&
         network.clock().Now() - start < 10 * kMaxSpreadTime) {
    network.Run(kStep);
  }
  const Duration longest = network.clock().Now() - start;
  std::printf(
      "first load of %zu organisations: all within %lld ms, %.0f KB a node\n",
      kOrganisations,
      static_cast<long long>(
          std::chrono::duration_cast<std::chrono::milliseconds>(longest)
              .count()),
      static_cast<double>(network.bytes().sent - before.sent) /
          static_cast<double>(nodes) / 1e3);
  EXPECT_EQ(network.Reached(1), nodes);
  EXPECT_LE(longest, kMaxSpreadTime);
}

}  // namespace
}  // namespace peridotgate::coordination
