// Tests that the configuration reaches all nodes despite faults of the network
// and of processes.
#include "../gossip_network.h"

#include <gtest/gtest.h>

namespace peridotgate::coordination {
namespace {

using std::chrono::hours;
using std::chrono::seconds;

TEST(ConfigurationGossip, ReachesAllNodesDespiteLossDuplicationAndReordering) {
  GossipNetwork network(1000, {}, {0.2, 0.1}, 11);
  for (std::int64_t version = 1; version <= 40; ++version) {
    network.Accept(0, ChangeOf(version));
    network.Run(std::chrono::milliseconds(190));
  }
  network.Run(seconds(9));
  EXPECT_EQ(network.Reached(40), network.size());
}

TEST(ConfigurationGossip, ConvergesAfterAnHourOfPartition) {
  GossipNetwork network(60, {}, {0.05, 0.05}, 12);
  network.Cut([](std::size_t a, std::size_t b) { return a % 2 != b % 2; });
  {
    SCOPED_TRACE("one side makes more changes than a node keeps");
    for (std::int64_t version = 1; version <= 600; ++version) {
      network.Accept(0, ChangeOf(version));
      network.Run(seconds(6));
    }
    EXPECT_EQ(network.Reached(600), network.size() / 2);
  }
  {
    SCOPED_TRACE("the partition heals");
    network.Cut(nullptr);
    network.Run(seconds(9));
    EXPECT_EQ(network.Reached(600), network.size());
    EXPECT_EQ(network.follower(1).Find("organisation/0"),
              network.follower(0).Find("organisation/0"));
    EXPECT_EQ(network.follower(1).SectionVersion("organisation/0"), 600);
  }
}

TEST(ConfigurationGossip, RestartedNodesCatchUpFromPeers) {
  GossipNetwork network(100, {}, {0.1, 0.1}, 13, 16);
  for (std::int64_t version = 1; version <= 50; ++version) {
    network.Accept(0, ChangeOf(version));
  }
  network.Run(seconds(9));
  ASSERT_EQ(network.Reached(50), network.size());
  for (std::size_t i = 0; i < 90; ++i) {
    network.Restart(i);
  }
  network.Run(seconds(9));
  EXPECT_EQ(network.Reached(50), network.size());
}

TEST(ConfigurationGossip, OldMessagesDoNotRestoreOldVersions) {
  ManualClock clock;
  ConfigurationFollower follower(8);
  struct NoPeers : PeerSource {
    std::vector<PeerAddress> Draw(std::size_t /*n*/,
                                  RandomEngine& /*random*/) const override {
      return {};
    }
  } peers;
  ConfigurationGossip gossip({}, follower, peers, clock, 14);
  const PeerAddress peer{"10.0.0.1", 1};
  EXPECT_TRUE(gossip.OnMessage(peer, ChangesPush{{ChangeOf(1), ChangeOf(2)}}));
  EXPECT_FALSE(gossip.OnMessage(peer, ChangesPush{{ChangeOf(1)}}));
  EXPECT_FALSE(gossip.OnMessage(peer, SnapshotPush{1, {}}));
  EXPECT_EQ(follower.version(), 2);
  {
    SCOPED_TRACE(
        "a peer with an older version gets a digest and is not pulled from");
    gossip.TakeOutgoing();
    gossip.OnMessage(peer, VersionDigest{1});
    auto sent = gossip.TakeOutgoing();
    ASSERT_EQ(sent.size(), 1U);
    EXPECT_EQ(std::get<VersionDigest>(sent[0].message).version, 2);
  }
}

}  // namespace
}  // namespace peridotgate::coordination
