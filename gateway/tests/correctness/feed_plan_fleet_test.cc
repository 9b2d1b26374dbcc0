// How fast a fleet of gateways learns of a change while some of its members
// hang and the store turns others away.
#include "gateway/feed_plan.h"

#include <algorithm>
#include <array>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include <gtest/gtest.h>

namespace peridotgate::gateway {
namespace {

using coordination::Duration;
using std::chrono::milliseconds;

// The calls of a gateway, as the follower makes them.
constexpr milliseconds kTick{2};
constexpr milliseconds kStoreWait{700};
constexpr milliseconds kStoreTimeout{1500};
constexpr milliseconds kPeerWait{400};
constexpr milliseconds kPeerMargin{300};
constexpr milliseconds kPoll{100};
constexpr milliseconds kProbePause{20};
constexpr milliseconds kStorePause{600};
constexpr milliseconds kConfirmationStep{100};

enum class StoreState { kAnswers, kRefuses, kSilent };

struct Gateway {
  explicit Gateway(PeerGateway self) : own(self), plan(std::move(self)) {}

  struct StoreCall {
    TimePoint since{};
    TimePoint next{};  // Of the next look at the plan.
    bool open = false;
  };

  PeerGateway own;
  FeedPlan plan;
  StoreState store = StoreState::kAnswers;
  bool frozen = false;
  int version = 0;
  std::array<StoreCall, 2> calls;
  std::optional<PeerQuery> query;
  TimePoint query_since{};
  TimePoint peer_confirmed{};  // When the query was sent.
  TimePoint next_query{};
};

// Plays the loops of a follower for each gateway, in steps of `kTick`.
class Fleet {
 public:
  Fleet(int gateways, int data_centres) {
    std::vector<PeerGateway> all;
    all.reserve(static_cast<std::size_t>(gateways));
    for (int i = 0; i < gateways; ++i) {
      all.push_back(
          {{"10.0." + std::to_string(i / 200) + "." + std::to_string(i % 200),
            80},
           "dc" + std::to_string(i % data_centres),
           100 + 17 * (i % 11)});
    }
    for (const PeerGateway& it : all) {
      gateways_.push_back(std::make_unique<Gateway>(it));
    }
    Run(milliseconds(1500));
    for (const auto& it : gateways_) {
      it->plan.OnPeers(all);
    }
    Run(milliseconds(4000));
  }

  std::vector<std::unique_ptr<Gateway>>& gateways() { return gateways_; }

  void Publish() { ++published_; }

  void Run(Duration time) {
    const TimePoint end = now_ + time;
    while (now_ < end) {
      now_ += kTick;
      for (const auto& it : gateways_) {
        if (!it->frozen) {
          StepStore(*it, Feed::kRules);
          StepStore(*it, Feed::kServers);
          StepPeers(*it);
        }
      }
    }
  }

  // Gateways that read the store now.
  int Readers() const {
    return static_cast<int>(std::count_if(
        gateways_.begin(), gateways_.end(),
        [&](const auto& it) { return it->plan.ReadsStore(now_); }));
  }

  // The number of gateways that ask the most asked one.
  std::size_t MostFollowers() const {
    std::map<std::string, std::size_t> followers;
    std::size_t most = 0;
    for (const auto& it : gateways_) {
      if (it->query) {
        most = std::max(most, ++followers[runtime::ToString(it->query->peer)]);
      }
    }
    return most;
  }

  // Gateways that run and do not know the newest version.
  int Behind() const {
    return static_cast<int>(
        std::count_if(gateways_.begin(), gateways_.end(), [&](const auto& it) {
          return !it->frozen && it->version < published_;
        }));
  }

 private:
  void StepStore(Gateway& it, Feed feed) {
    Gateway::StoreCall& call = it.calls[static_cast<std::size_t>(feed)];
    if (!call.open) {
      if (now_ < call.next) {
        return;
      }
      if (!it.plan.ReadsStore(now_)) {
        call.next = now_ + kPoll;
        return;
      }
      call.open = true;
      call.since = now_;
      return;
    }
    const auto waited = now_ - call.since;
    const bool changed = feed == Feed::kRules && it.version < published_;
    if (it.store == StoreState::kAnswers && (changed || waited >= kStoreWait)) {
      it.version = feed == Feed::kRules ? published_ : it.version;
      it.plan.OnStoreResult(feed, true, now_);
      call = {};
    } else if (it.store == StoreState::kRefuses || waited >= kStoreTimeout) {
      it.plan.OnStoreResult(feed, false, now_);
      call = {};
      call.next = now_ + kStorePause;
    }
  }

  Gateway& At(const runtime::Endpoint& address) {
    return **std::find_if(
        gateways_.begin(), gateways_.end(),
        [&](const auto& it) { return it->own.address == address; });
  }

  // When the store confirmed the rows of a gateway.
  TimePoint Confirmed(const Gateway& it) const {
    const auto age = it.plan.Age(now_);
    return age ? now_ - *age : TimePoint{};
  }

  void StepPeers(Gateway& it) {
    if (!it.query) {
      if (now_ < it.next_query) {
        return;
      }
      it.query = it.plan.PeerToAsk(now_);
      it.query_since = now_;
      it.next_query = now_ + kPoll;
      if (it.query) {
        it.peer_confirmed = Confirmed(At(it.query->peer));
      }
      return;
    }
    const Gateway& peer = At(it.query->peer);
    const Duration hold = it.query->probe ? milliseconds(0) : kPeerWait;
    const auto waited = now_ - it.query_since;
    const bool news = peer.version > it.version ||
                      Confirmed(peer) - it.peer_confirmed >= kConfirmationStep;
    if (peer.frozen ? waited < hold + kPeerMargin : waited < hold && !news) {
      return;
    }
    std::optional<PeerRows> rows;
    const auto age = peer.plan.Age(now_);
    if (!peer.frozen && age) {
      rows = PeerRows{*age, peer.plan.IsDirect(now_)};
      it.version = std::max(it.version, peer.version);
    }
    const bool followed = it.plan.OnPeerAnswer(it.query->peer, rows, now_);
    it.query.reset();
    it.next_query = followed ? now_ : now_ + kProbePause;
  }

  std::vector<std::unique_ptr<Gateway>> gateways_;
  TimePoint now_{milliseconds(1000)};
  int published_ = 0;
};

// The tightest deadline that operators give a change.
constexpr milliseconds kDeadline{2000};

TEST(FeedPlanFleet, AChangeIsNotLateWhenReadersHangInARow) {
  for (const int frozen : {1, 2, 4}) {
    for (const int delay_ms : {0, 300, 700, 1200, 2000, 3500}) {
      SCOPED_TRACE(std::to_string(frozen) + " hang, published after " +
                   std::to_string(delay_ms) + " ms");
      Fleet fleet(9, 1);
      std::vector<Gateway*> order;
      for (const auto& it : fleet.gateways()) {
        order.push_back(it.get());
      }
      std::sort(order.begin(), order.end(), [](const auto* a, const auto* b) {
        return TakesDutyBefore(a->own, b->own);
      });
      for (int i = 0; i < frozen; ++i) {
        order[static_cast<std::size_t>(i)]->frozen = true;
      }
      fleet.Run(milliseconds(delay_ms));
      fleet.Publish();
      fleet.Run(kDeadline);
      EXPECT_EQ(fleet.Behind(), 0);
    }
  }
}

TEST(FeedPlanFleet, NoGatewayServesMoreOthersInALargerFleet) {
  for (const int gateways : {30, 100, 300, 430}) {
    SCOPED_TRACE(std::to_string(gateways) + " gateways");
    Fleet fleet(gateways, 3);
    {
      SCOPED_TRACE("one gateway per data centre reads the store");
      fleet.Run(milliseconds(4000));
      EXPECT_EQ(fleet.Readers(), 3);
      EXPECT_LE(fleet.MostFollowers(), FeedPlan::kFanOut);
    }
    {
      SCOPED_TRACE("a change reaches all in a fraction of the deadline");
      fleet.Publish();
      fleet.Run(milliseconds(200));
      EXPECT_EQ(fleet.Behind(), 0);
    }
    {
      SCOPED_TRACE("a change is not late while a reader and relays hang");
      std::vector<Gateway*> order;
      for (const auto& it : fleet.gateways()) {
        order.push_back(it.get());
      }
      std::sort(order.begin(), order.end(), [](const auto* a, const auto* b) {
        return TakesDutyBefore(a->own, b->own);
      });
      for (const std::size_t i : {0, 4, 5, 11}) {
        order[i]->frozen = true;
      }
      fleet.Publish();
      fleet.Run(kDeadline);
      EXPECT_EQ(fleet.Behind(), 0);
    }
  }
}

TEST(FeedPlanFleet, AChangeIsNotLateWhenTheStoreTurnsReadersAway) {
  std::mt19937 random(7);
  for (const int gateways : {10, 27, 68}) {
    for (const double share : {0.2, 0.35, 0.6}) {
      for (const auto state : {StoreState::kRefuses, StoreState::kSilent}) {
        for (int i = 0; i < 6; ++i) {
          SCOPED_TRACE(std::to_string(gateways) + " gateways, share " +
                       std::to_string(share) +
                       (state == StoreState::kSilent ? " silent" : " refused"));
          Fleet fleet(gateways, 3);
          std::uniform_real_distribution<double> draw;
          for (const auto& it : fleet.gateways()) {
            it->store = draw(random) < share ? state : StoreState::kAnswers;
            it->frozen = draw(random) < 0.15;
          }
          fleet.gateways().back()->frozen = false;
          fleet.gateways().back()->store = StoreState::kAnswers;
          fleet.Run(milliseconds(static_cast<int>(4000 * draw(random))));
          fleet.Publish();
          fleet.Run(kDeadline);
          EXPECT_EQ(fleet.Behind(), 0);
        }
      }
    }
  }
}

}  // namespace
}  // namespace peridotgate::gateway
