// Tests membership under lost messages, dying and leaving processes, and
// network partitions.
#include "coordination/membership.h"

#include <functional>
#include <queue>

#include <gtest/gtest.h>

namespace peridotgate::coordination {
namespace {

using std::chrono::hours;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kStep = milliseconds(10);

// Members on one manual clock; messages are lost or delayed.
class Cluster {
 public:
  Cluster(std::size_t n, MembershipOptions options, double loss)
      : options_(options), loss_(loss) {
    for (std::size_t i = 0; i < n; ++i) {
      nodes_.push_back(Make(i, 1));
    }
    for (std::size_t i = 0; i < n; ++i) {
      AddAllListed(i);
    }
  }

  std::uint64_t messages() const { return messages_; }
  Membership& at(std::size_t i) { return *nodes_[i]; }
  void Cut(std::function<bool(std::size_t, std::size_t)> cut) {
    cut_ = std::move(cut);
  }
  void Stop(std::size_t i) { nodes_[i] = nullptr; }
  void Restart(std::size_t i, std::vector<PeerAddress> seeds) {
    nodes_[i] = Make(i, ++incarnation_);
    nodes_[i]->AddSeeds(std::move(seeds));
  }
  static PeerAddress AddressOf(std::size_t i) {
    return {"10.0.0.1", static_cast<std::uint16_t>(i)};
  }

  void Run(Duration time) {
    const TimePoint end = clock_.Now() + time;
    for (std::uint64_t step = 0; clock_.Now() < end; ++step) {
      clock_.Advance(kStep);
      Deliver();
      for (std::size_t i = step % 10; i < nodes_.size(); i += 10) {
        TickOne(i);
      }
    }
  }

  // Number of running nodes that see `instance` in `state`.
  std::size_t CountSeen(std::size_t instance, MemberState state) {
    std::size_t n = 0;
    for (auto& it : nodes_) {
      const KnownMember* known =
          it ? it->Find(std::to_string(instance)) : nullptr;
      n += known != nullptr && known->record.state == state ? 1 : 0;
    }
    return n;
  }

  std::size_t CountSeenByAll(MemberState state) {
    std::size_t n = 0;
    for (std::size_t i = 0; i < nodes_.size(); ++i) {
      n += CountSeen(i, state);
    }
    return n;
  }

 private:
  struct InFlight {
    TimePoint at;
    std::size_t from = 0;
    OutgoingMembers message;
    bool operator<(const InFlight& other) const { return at > other.at; }
  };

  std::unique_ptr<Membership> Make(std::size_t i, std::int64_t incarnation) {
    MemberRecord self;
    self.instance = std::to_string(i);
    self.role = i % 4 == 0 ? MemberRole::kEntry : MemberRole::kAgent;
    self.data_centre = "dc-" + std::to_string(i % 3);
    self.address = AddressOf(i);
    self.incarnation = incarnation;
    return std::make_unique<Membership>(options_, self, clock_, 100 + i);
  }

  void AddAllListed(std::size_t i) {
    for (auto& it : nodes_) {
      MemberRecord record;
      record.instance = it->self().instance;
      record.role = it->self().role;
      record.data_centre = it->self().data_centre;
      record.address = it->self().address;
      nodes_[i]->AddListed(record);
    }
  }

  void TickOne(std::size_t i) {
    if (nodes_[i]) {
      nodes_[i]->Tick();
      Collect(i);
    }
  }

  void Collect(std::size_t i) {
    std::uniform_real_distribution<double> chance(0, 1);
    std::uniform_int_distribution<int> delay(1, 60);
    for (OutgoingMembers& it : nodes_[i]->TakeOutgoing()) {
      ++messages_;
      if (chance(random_) >= loss_ && !(cut_ && cut_(i, it.to.port))) {
        in_flight_.push(
            {clock_.Now() + milliseconds(delay(random_)), i, std::move(it)});
      }
    }
  }

  void Deliver() {
    while (!in_flight_.empty() && in_flight_.top().at <= clock_.Now()) {
      const InFlight it = in_flight_.top();
      in_flight_.pop();
      if (nodes_[it.message.to.port]) {
        nodes_[it.message.to.port]->OnRecords(AddressOf(it.from),
                                              it.message.members);
        Collect(it.message.to.port);
      }
    }
  }

  ManualClock clock_;
  MembershipOptions options_;
  double loss_;
  RandomEngine random_{7};
  std::vector<std::unique_ptr<Membership>> nodes_;
  std::priority_queue<InFlight> in_flight_;
  std::function<bool(std::size_t, std::size_t)> cut_;
  std::int64_t incarnation_ = 1;
  std::uint64_t messages_ = 0;
};

constexpr std::size_t kNodes = 60;

TEST(Membership, LostMessagesDoNotRemoveLiveMembers) {
  Cluster cluster(kNodes, {}, 0.25);
  cluster.Run(std::chrono::minutes(5));
  EXPECT_EQ(cluster.CountSeenByAll(MemberState::kGone), 0U);
}

TEST(Membership, StartOfAllNodesDoesNotFloodTheNetwork) {
  Cluster cluster(14, {}, 0);
  cluster.Run(seconds(20));
  // Up to two pings with replies per second, and three broadcasts to three
  // peers for each of 13 changes.
  EXPECT_LE(cluster.messages(), 14U * (20 * 2 * 2 + 13 * 3 * 3));
}

TEST(Membership, ALeavingMemberIsUnusableEverywhereWithinSeconds) {
  Cluster cluster(kNodes, {}, 0.05);
  cluster.Run(seconds(5));
  cluster.at(7).Leave();
  cluster.Run(seconds(4));
  EXPECT_EQ(cluster.CountSeen(7, MemberState::kLeaving), kNodes - 1);
  EXPECT_FALSE(IsUsable(*cluster.at(3).Find("7")));
}

TEST(Membership, DeadMembersAreDetectedAndRestartedOnesRejoin) {
  Cluster cluster(kNodes, {}, 0.05);
  cluster.Run(seconds(5));
  {
    SCOPED_TRACE("one dies");
    cluster.Stop(9);
    cluster.Run(seconds(25));
    EXPECT_EQ(cluster.CountSeen(9, MemberState::kGone), kNodes - 1);
  }
  {
    SCOPED_TRACE("it restarts with one seed and no list");
    cluster.Restart(9, {Cluster::AddressOf(0)});
    cluster.Run(seconds(10));
    EXPECT_EQ(cluster.CountSeen(9, MemberState::kAlive), kNodes - 1);
    EXPECT_EQ(cluster.at(9).members().size(), kNodes - 1);
  }
}

TEST(Membership, ConvergesAfterAnHourOfPartition) {
  Cluster cluster(20, {}, 0.02);
  cluster.Run(seconds(5));
  cluster.Cut([](std::size_t a, std::size_t b) { return a % 2 != b % 2; });
  cluster.Run(hours(1));
  EXPECT_EQ(cluster.CountSeenByAll(MemberState::kGone), 200U);
  cluster.Cut(nullptr);
  cluster.Run(std::chrono::minutes(2));
  EXPECT_EQ(cluster.CountSeenByAll(MemberState::kAlive), 380U);
}

TEST(Membership, ALeavingMarkInTheListReachesAllAndCanBeRevoked) {
  Cluster cluster(kNodes, {}, 0.05);
  cluster.Run(seconds(5));
  MemberRecord listed = cluster.at(11).self();
  listed.incarnation = 0;
  listed.state = MemberState::kLeaving;
  {
    SCOPED_TRACE(
        "one reader of the list informs all, including the member itself");
    cluster.at(0).AddListed(listed);
    cluster.Run(seconds(4));
    EXPECT_EQ(cluster.CountSeen(11, MemberState::kLeaving), kNodes - 1);
    EXPECT_TRUE(cluster.at(11).told_leaving());
  }
  {
    SCOPED_TRACE("the member does not leave and overrides the list");
    cluster.at(11).Return();
    cluster.Run(seconds(4));
    EXPECT_EQ(cluster.CountSeen(11, MemberState::kAlive), kNodes - 1);
    EXPECT_FALSE(cluster.at(11).told_leaving());
  }
}

}  // namespace
}  // namespace peridotgate::coordination
