// The choice between store and peers while gateways and the store fail and
// return.
#include "gateway/feed_plan.h"

#include <string>

#include <gtest/gtest.h>

namespace peridotgate::gateway {
namespace {

using std::chrono::milliseconds;

runtime::Endpoint At(int host) {
  return {"10.0.0." + std::to_string(host), 80};
}

PeerQuery Follow(int host) {
  return {At(host), false};
}

PeerQuery Probe(int host) {
  return {At(host), true};
}

PeerRows Direct(int age_ms) {
  return {milliseconds(age_ms), true};
}

PeerRows Indirect(int age_ms) {
  return {milliseconds(age_ms), false};
}

// The plan of gateway `own`. Gateways 1 to 3 are in data centre a, 4 in b.
FeedPlan MakePlan(int own) {
  FeedPlan plan({At(own), own == 4 ? "b" : "a", 0});
  plan.OnPeers(
      {{At(4), "b", 0}, {At(3), "a", 0}, {At(2), "a", 0}, {At(1), "a", 0}});
  return plan;
}

TEST(FeedPlan, OneGatewayPerDataCentreReadsTheStore) {
  const TimePoint now{milliseconds(1000)};
  EXPECT_TRUE(MakePlan(1).ReadsStore(now));
  EXPECT_TRUE(MakePlan(4).ReadsStore(now));
  FeedPlan second = MakePlan(2);
  EXPECT_FALSE(second.ReadsStore(now));
  EXPECT_EQ(second.PeerToAsk(now), Follow(1));
}

TEST(FeedPlan, SkipsAReaderWithoutFreshRows) {
  TimePoint now{milliseconds(1000)};
  FeedPlan third = MakePlan(3);
  {
    SCOPED_TRACE("asks the second gateway when the first does not answer");
    EXPECT_FALSE(third.OnPeerAnswer(At(1), std::nullopt, now));
    EXPECT_EQ(third.PeerToAsk(now), Follow(2));
  }
  {
    SCOPED_TRACE("reads the store when all earlier gateways are stale");
    EXPECT_FALSE(third.OnPeerAnswer(At(2), Direct(1500), now));
    EXPECT_TRUE(third.ReadsStore(now));
    third.OnStoreResult(Feed::kRules, true, now);
    third.OnStoreResult(Feed::kServers, true, now);
    EXPECT_FALSE(third.PeerToAsk(now));
  }
  {
    SCOPED_TRACE("reads the store until the first gateway has fresh rows");
    now += milliseconds(2500);
    EXPECT_EQ(third.PeerToAsk(now), Probe(1));
    EXPECT_TRUE(third.ReadsStore(now));
    EXPECT_TRUE(third.OnPeerAnswer(At(1), Direct(300), now));
    EXPECT_FALSE(third.ReadsStore(now));
  }
}

// The store may turn some gateways away. If they were followed, the others
// would stop reading the store and get their own rows back, with revoked keys
// in them.
TEST(FeedPlan, FollowsNoPeerThatDoesNotReadTheStore) {
  const TimePoint now{milliseconds(1000)};
  FeedPlan second = MakePlan(2);
  EXPECT_FALSE(second.OnPeerAnswer(At(1), Indirect(100), now));
  EXPECT_TRUE(second.ReadsStore(now));
}

// Such a gateway gets its rows from one before it, so no round can form.
TEST(FeedPlan, FollowsAnEarlierGatewayThatPassesRowsOn) {
  const TimePoint now{milliseconds(1000)};
  FeedPlan third = MakePlan(3);
  EXPECT_TRUE(third.OnPeerAnswer(At(2), Indirect(100), now));
  EXPECT_FALSE(third.OnPeerAnswer(At(2), Indirect(1300), now));
  FeedPlan second = MakePlan(2);
  EXPECT_FALSE(second.OnPeerAnswer(At(3), Indirect(100), now));
}

TEST(FeedPlan, ProbesAllPeersInTurnWhenTheStoreIsUnreachable) {
  TimePoint now{milliseconds(1000)};
  FeedPlan first = MakePlan(1);
  EXPECT_FALSE(first.PeerToAsk(now));
  first.OnStoreResult(Feed::kRules, false, now);
  first.OnStoreResult(Feed::kServers, false, now);
  EXPECT_TRUE(first.ReadsStore(now));
  {
    SCOPED_TRACE("asks the next peer after one that does not read the store");
    EXPECT_EQ(first.PeerToAsk(now), Probe(2));
    first.OnPeerAnswer(At(2), std::nullopt, now);
    EXPECT_EQ(first.PeerToAsk(now), Probe(3));
    first.OnPeerAnswer(At(3), Indirect(100), now);
    EXPECT_EQ(first.PeerToAsk(now), Probe(4));
  }
  {
    SCOPED_TRACE("follows a peer that reads the store");
    EXPECT_TRUE(first.OnPeerAnswer(At(4), Direct(100), now));
    EXPECT_EQ(first.PeerToAsk(now), Follow(4));
  }
  first.OnStoreResult(Feed::kRules, true, now);
  first.OnStoreResult(Feed::kServers, true, now);
  EXPECT_FALSE(first.PeerToAsk(now));
  {
    SCOPED_TRACE("probes peers also while a call to the store hangs");
    now += milliseconds(1300);
    EXPECT_TRUE(first.PeerToAsk(now));
    EXPECT_FALSE(first.IsDirect(now));
  }
}

// Rows that two gateways only get from each other must age for both.
TEST(FeedPlan, TracksTheAgeOfRowsFromAnySource) {
  TimePoint now{milliseconds(1000)};
  FeedPlan plan = MakePlan(2);
  EXPECT_FALSE(plan.Age(now));
  plan.OnPeerAnswer(At(1), Direct(300), now);
  now += milliseconds(400);
  EXPECT_EQ(plan.Age(now), milliseconds(700));
  plan.OnPeerAnswer(At(3), Direct(2000), now);
  EXPECT_EQ(plan.Age(now), milliseconds(700));
  plan.OnStoreResult(Feed::kRules, true, now);
  plan.OnStoreResult(Feed::kServers, true, now);
  EXPECT_EQ(plan.Age(now), milliseconds(0));
}

// Reading for a dozen others would take a small instance's whole processor.
TEST(FeedPlan, TheLargestGatewayReadsForItsDataCentre) {
  const TimePoint now{milliseconds(1000)};
  const std::vector<PeerGateway> all = {
      {At(1), "a", 90}, {At(2), "a", 500}, {At(3), "a", 300}};
  FeedPlan small(all[0]);
  FeedPlan large(all[1]);
  small.OnPeers(all);
  large.OnPeers(all);
  EXPECT_TRUE(large.ReadsStore(now));
  EXPECT_EQ(small.PeerToAsk(now), Follow(2));
  {
    SCOPED_TRACE("the next largest follows when it falls silent");
    small.OnPeerAnswer(At(2), std::nullopt, now);
    EXPECT_EQ(small.PeerToAsk(now), Follow(3));
  }
}

// A call for the rules may hang while calls for the servers are answered. The
// other gateways would otherwise take revoked keys for valid.
TEST(FeedPlan, AgesByTheFeedThatWasConfirmedLongestAgo) {
  TimePoint now{milliseconds(1000)};
  FeedPlan reader = MakePlan(1);
  reader.OnStoreResult(Feed::kServers, true, now);
  EXPECT_FALSE(reader.Age(now));
  reader.OnStoreResult(Feed::kRules, true, now);
  for (int i = 0; i < 5; ++i) {
    now += milliseconds(700);
    reader.OnStoreResult(Feed::kServers, true, now);
  }
  EXPECT_EQ(reader.Age(now), milliseconds(3500));
  EXPECT_FALSE(reader.IsDirect(now));
  {
    SCOPED_TRACE("a reader with one lost feed asks its peers too");
    reader.OnStoreResult(Feed::kRules, false, now);
    reader.OnStoreResult(Feed::kServers, true, now);
    EXPECT_EQ(reader.PeerToAsk(now), Probe(2));
  }
}

}  // namespace
}  // namespace peridotgate::gateway
