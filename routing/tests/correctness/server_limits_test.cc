// Gateways that share the limit of one server and exchange reports over a
// network that delays, loses and cuts datagrams, in virtual time.
#include "routing/server_limits.h"

#include <algorithm>
#include <cmath>
#include <deque>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include <gtest/gtest.h>

namespace peridotgate::routing {
namespace {

using coordination::Duration;
using std::chrono::milliseconds;
using std::chrono::seconds;

const Incarnation kServer{"server", 7};

LimitStatement Names(double per_s) {
  return {per_s, true, {}};
}

LimitStatement NamesNone(TimePoint asked_at) {
  return {std::nullopt, true, asked_at};
}

class Fleet {
 public:
  static constexpr milliseconds kStep{5};
  static constexpr milliseconds kWholeReport{600};
  // A gateway with callers reports its use of other servers at least so often.
  static constexpr milliseconds kReport{50};

  Fleet(std::size_t gateways, double per_s, double loss = 0)
      : per_s_(per_s), loss_(loss) {
    for (std::size_t i = 0; i < gateways; ++i) {
      nodes_.push_back(std::make_unique<Node>());
    }
    for (std::size_t i = 0; i < gateways; ++i) {
      Start(i);
    }
    Run(seconds(3));  // The gateways hear each other.
  }

  // Restarts a gateway: it forgets all that it knew.
  void Start(std::size_t i) {
    Node& node = *nodes_[i];
    node = {};
    node.limits = std::make_unique<ServerLimits>(random_());
    node.incarnation = ++incarnations_;
    node.started_at = now_;
    std::vector<std::string> peers;
    for (std::size_t it = 0; it < nodes_.size(); ++it) {
      if (it != i) {
        peers.push_back(std::to_string(it));
      }
    }
    node.limits->SetPeers(peers, now_);
  }

  void SetCut(std::size_t i, bool cut) { nodes_[i]->cut = cut; }
  // From now on each gateway wants to send so many requests a second.
  void SetDemand(double per_s) { demand_ = per_s; }
  void SetLimit(double per_s) { per_s_ = per_s; }
  ServerLimits& limits(std::size_t i) { return *nodes_[i]->limits; }
  TimePoint now() const { return now_; }

  void Run(Duration time) {
    for (const TimePoint end = now_ + time; now_ < end; now_ += kStep) {
      Deliver();
      for (std::size_t i = 0; i < nodes_.size(); ++i) {
        Send(*nodes_[i]);
        Report(i);
      }
    }
  }

  // Requests sent since `from` by gateways that are not cut off.
  std::size_t SentSince(TimePoint from) const {
    return static_cast<std::size_t>(std::count_if(
        sent_.begin(), sent_.end(), [&](TimePoint it) { return it >= from; }));
  }

  std::size_t MostInWindow(TimePoint from, Duration window) const {
    std::size_t most = 0;
    std::size_t first = 0;
    for (std::size_t i = 0; i < sent_.size(); ++i) {
      while (sent_[i] - sent_[first] >= window || sent_[first] < from) {
        if (++first > i) {
          break;
        }
      }
      most = std::max(most, i + 1 - std::min(first, i + 1));
    }
    return most;
  }

 private:
  struct Node {
    std::unique_ptr<ServerLimits> limits;
    std::int64_t incarnation = 0;
    TimePoint started_at{};
    TimePoint whole_at{};
    TimePoint reported_at{};
    double due = 0;
    bool cut = false;
  };
  struct Datagram {
    TimePoint at{};
    std::size_t from = 0;
    std::int64_t incarnation = 0;
    Duration uptime{};
    std::size_t to = 0;
    std::vector<LimitReport> reports;
  };

  void Send(Node& node) {
    constexpr double kMaxWaiting = 3;
    node.due = std::min(
        kMaxWaiting,
        node.due + demand_ * std::chrono::duration<double>(kStep).count());
    while (node.due >= 1 && node.limits->HasRoom(kServer, now_) &&
           node.limits->TryCharge(kServer, now_)) {
      node.due -= 1;
      if (!node.cut) {
        sent_.push_back(now_);
      }
      if (per_s_ > 0) {
        node.limits->OnAnswer(kServer, Names(per_s_), now_);
      }
    }
  }

  void Report(std::size_t i) {
    Node& node = *nodes_[i];
    const bool whole = now_ - node.whole_at >= kWholeReport;
    const auto reports = node.limits->TakeReports(whole, now_);
    const bool due = demand_ > 0 && now_ - node.reported_at >= kReport;
    if (reports.empty() && !whole && !due) {
      return;
    }
    node.whole_at = whole ? now_ : node.whole_at;
    node.reported_at = now_;
    std::uniform_real_distribution<double> draw;
    for (std::size_t to = 0; to < nodes_.size(); ++to) {
      if (to != i && !node.cut && !nodes_[to]->cut && draw(random_) >= loss_) {
        const milliseconds delay(5 + static_cast<int>(10 * draw(random_)));
        network_.push_back({now_ + delay, i, node.incarnation,
                            now_ - node.started_at, to, reports});
      }
    }
  }

  void Deliver() {
    const auto due =
        std::stable_partition(network_.begin(), network_.end(),
                              [&](const auto& it) { return it.at <= now_; });
    for (auto it = network_.begin(); it != due; ++it) {
      const std::string name = std::to_string(it->from);
      nodes_[it->to]->limits->OnReports({name, it->incarnation, it->uptime},
                                        it->reports, now_);
    }
    network_.erase(network_.begin(), due);
  }

  double per_s_;
  double loss_;
  double demand_ = 0;
  std::mt19937_64 random_{1};
  std::int64_t incarnations_ = 0;
  TimePoint now_{seconds(100)};
  std::vector<std::unique_ptr<Node>> nodes_;
  std::deque<Datagram> network_;
  std::vector<TimePoint> sent_;
};

// What a server may get in 4 s.
std::size_t Allowed(double per_s) {
  return static_cast<std::size_t>(1.5 * 4 * per_s + 5);
}

TEST(ServerLimits, AllGatewaysTogetherKeepToTheLimit) {
  for (const std::size_t gateways : {1, 6, 27, 100}) {
    for (const double per_s : {0.5, 1.2, 1.7, 8.0, 40.0}) {
      for (const double loss : {0.0, 0.2}) {
        SCOPED_TRACE(std::to_string(gateways) + " gateways, " +
                     std::to_string(per_s) + " a second, loss " +
                     std::to_string(loss));
        Fleet fleet(gateways, per_s, loss);
        fleet.limits(0).OnAnswer(kServer, Names(per_s), fleet.now());
        fleet.Run(milliseconds(500));
        fleet.SetDemand(20);
        fleet.Run(seconds(3));
        const TimePoint from = fleet.now();
        fleet.Run(seconds(20));
        EXPECT_LE(fleet.MostInWindow(from, seconds(4)), Allowed(per_s));
        const double wanted =
            std::min(per_s, 20.0 * static_cast<double>(gateways));
        EXPECT_GE(static_cast<double>(fleet.SentSince(from)),
                  0.8 * 20 * wanted - 2);
      }
    }
  }
}

TEST(ServerLimits, HoldAcrossRestartsAndCuts) {
  constexpr double kPerS = 1.7;
  for (const std::size_t gateways : {6, 27}) {
    SCOPED_TRACE(std::to_string(gateways) + " gateways");
    Fleet fleet(gateways, kPerS);
    fleet.limits(0).OnAnswer(kServer, Names(kPerS), fleet.now());
    fleet.SetDemand(20);
    fleet.Run(seconds(4));
    const TimePoint from = fleet.now();
    {
      SCOPED_TRACE("gateways restart one after the other");
      for (std::size_t i = 0; i < 4; ++i) {
        fleet.Start(i);
        fleet.Run(milliseconds(900));
      }
    }
    {
      SCOPED_TRACE("gateways are cut off for a while, one after the other");
      for (std::size_t i = 0; i < 4; ++i) {
        fleet.SetCut(i, true);
        fleet.Run(seconds(2));
        fleet.SetCut(i, false);
        fleet.Run(seconds(1));
      }
    }
    EXPECT_LE(fleet.MostInWindow(from, seconds(4)), Allowed(kPerS));
  }
}

TEST(ServerLimits, ANewGatewayKnowsTheLimitBeforeItAsksTheServer) {
  Fleet fleet(6, 3);
  fleet.limits(0).OnAnswer(kServer, Names(3), fleet.now());
  fleet.Run(seconds(1));
  fleet.Start(5);
  EXPECT_FALSE(fleet.limits(5).Get(kServer));
  fleet.Run(milliseconds(700));
  EXPECT_EQ(fleet.limits(5).Get(kServer), 3);
}

TEST(ServerLimits, TheNewestStatementIsInForceEverywhere) {
  Fleet fleet(6, 3);
  const auto all_have = [&](std::optional<double> per_s) {
    for (std::size_t i = 0; i < 6; ++i) {
      EXPECT_EQ(fleet.limits(i).Get(kServer), per_s);
    }
  };
  fleet.limits(0).OnAnswer(kServer, Names(3), fleet.now());
  fleet.Run(milliseconds(100));
  all_have(3);
  {
    SCOPED_TRACE("another figure, heard by another gateway");
    fleet.limits(4).OnAnswer(kServer, Names(2), fleet.now());
    fleet.Run(milliseconds(100));
    all_have(2);
  }
  {
    SCOPED_TRACE("an answer to a request from before says nothing");
    fleet.limits(1).OnAnswer(
        kServer, NamesNone(fleet.now() - milliseconds(500)), fleet.now());
    fleet.Run(milliseconds(100));
    all_have(2);
  }
  {
    SCOPED_TRACE("nor does one that may not come from the server");
    fleet.limits(1).OnAnswer(kServer, {std::nullopt, false, fleet.now()},
                             fleet.now());
    all_have(2);
  }
  {
    SCOPED_TRACE("an answer to a later request names none");
    const TimePoint asked_at = fleet.now();
    fleet.Run(milliseconds(10));
    fleet.limits(1).OnAnswer(kServer, NamesNone(asked_at), fleet.now());
    fleet.Run(milliseconds(100));
    all_have(std::nullopt);
  }
}

TEST(ServerLimits, BelongToOneIncarnation) {
  ServerLimits limits;
  const TimePoint now{seconds(1)};
  EXPECT_TRUE(limits.OnAnswer(kServer, Names(0), now));
  EXPECT_FALSE(limits.HasRoom(kServer, now));
  EXPECT_TRUE(limits.HasRoom({"server", 8}, now));
  EXPECT_TRUE(limits.HasRoom({"other", 7}, now));
  {
    SCOPED_TRACE("what an earlier one says doesn't count any more");
    EXPECT_TRUE(limits.OnAnswer({"server", 8}, Names(5), now));
    EXPECT_FALSE(limits.OnAnswer(kServer, Names(1), now));
    EXPECT_EQ(limits.Get({"server", 8}), 5);
  }
  {
    SCOPED_TRACE("forgotten with its server");
    limits.OnListed([](const Incarnation&) { return false; });
    EXPECT_FALSE(limits.Get({"server", 8}));
  }
}

TEST(ServerLimits, IgnoresFiguresThatAreNone) {
  ServerLimits limits;
  const TimePoint now{seconds(1)};
  limits.OnAnswer(kServer, Names(2), now);
  for (const double it : {-1.0, std::nan(""), HUGE_VAL, -HUGE_VAL}) {
    EXPECT_FALSE(limits.OnAnswer(kServer, Names(it), now));
    LimitReport report;
    report.server = kServer;
    report.per_s = it;
    limits.OnReports({"peer", 1, seconds(5)}, std::vector{report}, now);
    EXPECT_EQ(limits.Get(kServer), 2);
  }
}

TEST(ServerLimits, CountRequestsThatDoNotAsk) {
  ServerLimits limits;
  TimePoint now{seconds(1)};
  limits.SetPeers({}, now);
  limits.OnAnswer(kServer, Names(1), now);
  now += seconds(10);
  ASSERT_TRUE(limits.HasRoom(kServer, now));
  for (int i = 0; i < 3; ++i) {
    limits.Charge(kServer, now);
  }
  EXPECT_FALSE(limits.HasRoom(kServer, now));
  EXPECT_GE(limits.TimeToRoom(kServer, now), seconds(1));
  {
    SCOPED_TRACE("what was not sent is given back");
    limits.Refund(kServer, now);
    limits.Refund(kServer, now);
    limits.Refund(kServer, now);
    EXPECT_TRUE(limits.TryCharge(kServer, now));
  }
}

}  // namespace
}  // namespace peridotgate::routing
