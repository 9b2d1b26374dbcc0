// How fast the members of a fleet learn of a part on which servers crash.
#include "crash_relay.h"

#include <algorithm>
#include <memory>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include <gtest/gtest.h>

namespace peridotgate::control {
namespace {

using coordination::PartState;
using coordination::PeerAddress;
using std::chrono::milliseconds;

constexpr coordination::PartKey kShared = 1;
constexpr coordination::PartKey kDeadly = 2;
// A fifth of the messages is lost.
constexpr double kLost = 0.2;

// Members that reach each other by port number.
class Fleet : public coordination::PeerSource {
 public:
  explicit Fleet(std::size_t n) : n_(n) {
    for (std::size_t i = 0; i < n; ++i) {
      relays_.push_back(std::make_unique<CrashRelay>(
          *this, clock_, i, metrics_,
          [this](const PeerAddress& to, const wire::Message& message) {
            sent_.emplace_back(to.port, std::get<wire::CrashFacts>(message));
          }));
    }
  }

  std::vector<PeerAddress> Draw(
      std::size_t n,
      coordination::RandomEngine& random) const override {
    std::vector<PeerAddress> peers;
    for (std::size_t i = 0; i < n; ++i) {
      peers.push_back({"", static_cast<std::uint16_t>(random() % n_)});
    }
    return peers;
  }

  void Run(milliseconds time) {
    std::uniform_real_distribution<double> draw;
    for (; time.count() > 0; time -= milliseconds(100)) {
      clock_.Advance(milliseconds(100));
      for (const auto& it : relays_) {
        it->Tick();
      }
      for (const auto& [to, facts] : std::exchange(sent_, {})) {
        if (draw(random_) >= kLost) {
          relays_[to]->OnFacts(facts);
        }
      }
    }
  }

  coordination::CrashAttribution& crashes(std::size_t i) {
    return relays_[i]->crashes();
  }
  coordination::TimePoint now() const { return clock_.Now(); }
  std::size_t size() const { return n_; }

 private:
  std::size_t n_;
  coordination::ManualClock clock_;
  runtime::Metrics metrics_;
  std::vector<std::pair<std::uint16_t, wire::CrashFacts>> sent_;
  std::vector<std::unique_ptr<CrashRelay>> relays_;
  std::mt19937 random_{7};
};

TEST(CrashRelay, AllMembersRefuseADeadlyPartWithinThreeSeconds) {
  for (const std::size_t n : {8U, 400U}) {
    SCOPED_TRACE(n);
    Fleet fleet(n);
    fleet.Run(milliseconds(2000));
    for (std::size_t i = 0; i < 5; ++i) {
      fleet.crashes(i).OnCrash({i, fleet.now(), {kShared, kDeadly}});
      fleet.Run(milliseconds(300));
      fleet.crashes(i + 1).OnSound(std::vector{kShared}, fleet.now());
    }
    fleet.Run(milliseconds(3000));
    for (std::size_t i = 0; i < fleet.size(); ++i) {
      EXPECT_EQ(fleet.crashes(i).Find(std::vector{kDeadly}, fleet.now()).state,
                PartState::kQuarantined)
          << i;
      EXPECT_EQ(fleet.crashes(i).Find(std::vector{kShared}, fleet.now()).state,
                PartState::kFree)
          << i;
    }
  }
}

}  // namespace
}  // namespace peridotgate::control
