// How fast, and for how many bytes, the gateways of a fleet learn of a part on
// which servers crash.
#include "crash_spread.h"

#include <algorithm>
#include <array>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include <gtest/gtest.h>

#include "usage_peers.h"
#include "wire/codec.h"
#include "wire/crash_facts.h"

namespace peridotgate::gateway {
namespace {

using coordination::CrashFacts;
using coordination::PartState;
using coordination::TimePoint;
using std::chrono::milliseconds;

constexpr coordination::PartKey kShared = 1;
constexpr coordination::PartKey kDeadly = 2;
constexpr std::size_t kMaxPeers = 128;
constexpr double kLost = 0.05;
constexpr std::size_t kUdpHeaderBytes = 28;
constexpr milliseconds kStep{20};
constexpr milliseconds kRepeatPeriod{600};

// Gateways that reach each other within one step.
class Fleet {
 public:
  explicit Fleet(std::size_t n) : crashes_(n), bytes_(n) {
    std::vector<runtime::Endpoint> all;
    all.reserve(n);
    for (std::size_t i = 0; i < n; ++i) {
      all.push_back({"gateway", static_cast<std::uint16_t>(10000 + i)});
      spreads_.emplace_back(i);
    }
    for (const auto& own : all) {
      std::vector<std::size_t>& list = peers_.emplace_back();
      for (const auto& it : SelectUsagePeers(own, all, kMaxPeers)) {
        list.push_back(it.port - std::size_t{10000});
      }
    }
  }

  void Run(milliseconds time) {
    for (; time.count() > 0; time -= kStep) {
      now_ += kStep;
      const bool repeats = ++steps_ % (kRepeatPeriod / kStep) == 0;
      for (std::size_t i = 0; i < crashes_.size(); ++i) {
        crashes_[i].quarantines(now_);  // As each request does.
        const auto messages =
            spreads_[i].Next(crashes_[i].TakeNews(),
                             repeats ? crashes_[i].Current(now_) : CrashFacts(),
                             peers_[i].size());
        for (const std::size_t it : peers_[i]) {
          Send(i, it, messages.to_all);
        }
        for (const std::size_t it : messages.few) {
          Send(i, peers_[i][it], messages.to_few);
        }
      }
    }
  }

  coordination::CrashAttribution& crashes(std::size_t i) { return crashes_[i]; }
  std::size_t size() const { return crashes_.size(); }
  TimePoint now() const { return now_; }
  // Sent and received by the gateway to which this cost most.
  std::size_t most_bytes() const {
    return *std::max_element(bytes_.begin(), bytes_.end());
  }

 private:
  void Send(std::size_t from, std::size_t to, const CrashFacts& facts) {
    if (facts.empty()) {
      return;
    }
    wire::UseNotice notice;
    notice.crash_facts = wire::ToWire(facts, now_);
    const std::size_t n = wire::EncodeStruct(notice).size() + kUdpHeaderBytes;
    bytes_[from] += n;
    bytes_[to] += n;
    if (draw_(random_) >= kLost) {
      crashes_[to].Merge(wire::FromWire(notice.crash_facts, now_), now_);
    }
  }

  std::vector<coordination::CrashAttribution> crashes_;
  std::vector<CrashSpread> spreads_;
  std::vector<std::vector<std::size_t>> peers_;
  std::vector<std::size_t> bytes_;
  TimePoint now_{std::chrono::seconds(1000)};
  std::int64_t steps_ = 0;
  std::uniform_real_distribution<double> draw_;
  std::mt19937 random_{11};
};

TEST(CrashSpread, AllGatewaysOfALargeFleetRefuseADeadlyPartWithinThreeSeconds) {
  for (const std::size_t n :
       {std::size_t{2}, std::size_t{68}, std::size_t{430}}) {
    SCOPED_TRACE(n);
    Fleet fleet(n);
    for (std::size_t i = 0; i < 5; ++i) {
      fleet.crashes(i % n).OnCrash({i, fleet.now(), {kShared, kDeadly}});
      fleet.Run(milliseconds(400));
      // Most gateways have requests with the first part.
      for (std::size_t other = 0; other < n; other += 2) {
        fleet.crashes(other).OnSound(std::array{kShared}, fleet.now());
      }
    }
    fleet.Run(milliseconds(3000));
    for (std::size_t i = 0; i < n; ++i) {
      EXPECT_EQ(fleet.crashes(i).Find(std::array{kDeadly}, fleet.now()).state,
                PartState::kQuarantined)
          << i;
      EXPECT_EQ(fleet.crashes(i).Find(std::array{kShared}, fleet.now()).state,
                PartState::kFree)
          << i;
    }
  }
}

TEST(CrashSpread, ACrashInALargeFleetDoesNotPassTheByteLimitOfAGateway) {
  constexpr std::size_t kBytesPerSecond = 10000;
  constexpr std::size_t kSeconds = 10;
  Fleet fleet(430);
  for (std::size_t i = 0; i < kSeconds; ++i) {
    // A crash a second, at gateways by turns.
    fleet.crashes(i * 37).OnCrash(
        {i, fleet.now(), {kShared, kDeadly, 100 + i}});
    fleet.Run(milliseconds(500));
    fleet.crashes(i * 11 + 5).OnSound(std::array{kShared}, fleet.now());
    fleet.Run(milliseconds(500));
  }
  EXPECT_LE(fleet.most_bytes(), kBytesPerSecond * kSeconds);
}

}  // namespace
}  // namespace peridotgate::gateway
