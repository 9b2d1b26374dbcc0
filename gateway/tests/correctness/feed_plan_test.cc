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

// The plan of gateway `own`. Gateways 1 to 3 are in data centre a, 4 in b.
FeedPlan MakePlan(int own) {
  FeedPlan plan(At(own), own == 4 ? "b" : "a");
  plan.OnPeers({{At(4), "b"}, {At(3), "a"}, {At(2), "a"}, {At(1), "a"}});
  return plan;
}

TEST(FeedPlan, OneGatewayPerDataCentreReadsTheStore) {
  const TimePoint now{milliseconds(1000)};
  EXPECT_TRUE(MakePlan(1).ReadsStore(now));
  EXPECT_TRUE(MakePlan(4).ReadsStore(now));
  FeedPlan second = MakePlan(2);
  EXPECT_FALSE(second.ReadsStore(now));
  EXPECT_EQ(second.PeerToAsk(now), At(1));
}

TEST(FeedPlan, SkipsAReaderWithoutFreshRows) {
  TimePoint now{milliseconds(1000)};
  FeedPlan third = MakePlan(3);
  {
    SCOPED_TRACE("asks the second gateway when the first does not answer");
    EXPECT_FALSE(third.OnPeerAnswer(At(1), std::nullopt, now));
    EXPECT_EQ(third.PeerToAsk(now), At(2));
  }
  {
    SCOPED_TRACE("reads the store when all earlier gateways are stale");
    EXPECT_FALSE(third.OnPeerAnswer(At(2), milliseconds(1500), now));
    EXPECT_TRUE(third.ReadsStore(now));
    EXPECT_FALSE(third.PeerToAsk(now));
  }
  {
    SCOPED_TRACE("asks the first gateway again after a delay");
    now += milliseconds(2500);
    EXPECT_EQ(third.PeerToAsk(now), At(1));
    EXPECT_TRUE(third.OnPeerAnswer(At(1), milliseconds(300), now));
    EXPECT_FALSE(third.ReadsStore(now));
  }
}

TEST(FeedPlan, AsksAllPeersInTurnWhenTheStoreIsUnreachable) {
  const TimePoint now{milliseconds(1000)};
  FeedPlan first = MakePlan(1);
  EXPECT_FALSE(first.PeerToAsk(now));
  first.OnStoreResult(false, now);
  EXPECT_TRUE(first.ReadsStore(now));
  {
    SCOPED_TRACE("asks the next peer after one without fresh rows");
    EXPECT_EQ(first.PeerToAsk(now), At(2));
    first.OnPeerAnswer(At(2), std::nullopt, now);
    EXPECT_EQ(first.PeerToAsk(now), At(3));
    first.OnPeerAnswer(At(3), milliseconds(5000), now);
    EXPECT_EQ(first.PeerToAsk(now), At(4));
  }
  {
    SCOPED_TRACE("keeps asking a peer with fresh rows");
    EXPECT_TRUE(first.OnPeerAnswer(At(4), milliseconds(100), now));
    EXPECT_EQ(first.PeerToAsk(now), At(4));
  }
  first.OnStoreResult(true, now);
  EXPECT_FALSE(first.PeerToAsk(now));
}

// Rows that two gateways only get from each other must age for both.
TEST(FeedPlan, TracksTheAgeOfRowsFromAnySource) {
  TimePoint now{milliseconds(1000)};
  FeedPlan plan = MakePlan(2);
  EXPECT_FALSE(plan.Age(now));
  plan.OnPeerAnswer(At(1), milliseconds(300), now);
  now += milliseconds(400);
  EXPECT_EQ(plan.Age(now), milliseconds(700));
  plan.OnPeerAnswer(At(3), milliseconds(2000), now);
  EXPECT_EQ(plan.Age(now), milliseconds(700));
  plan.OnStoreResult(true, now);
  EXPECT_EQ(plan.Age(now), milliseconds(0));
}

}  // namespace
}  // namespace peridotgate::gateway
