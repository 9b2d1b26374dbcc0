// Who reads the store and who asks a peer, while gateways and the store come
// and go.
#include "gateway/feed_plan.h"

#include <string>

#include <gtest/gtest.h>

namespace peridotgate::gateway {
namespace {

using std::chrono::milliseconds;

runtime::Endpoint At(int host) {
  return {"10.0.0." + std::to_string(host), 80};
}

// Gateways 1 to 3 in data centre a, 4 in b, as the given one sees them.
FeedPlan PlanOf(int own) {
  FeedPlan plan(At(own), own == 4 ? "b" : "a");
  plan.OnPeers({{At(4), "b"}, {At(3), "a"}, {At(2), "a"}, {At(1), "a"}});
  return plan;
}

TEST(FeedPlan, OneGatewayOfADataCentreReadsTheStore) {
  const TimePoint now{milliseconds(1000)};
  EXPECT_TRUE(PlanOf(1).ReadsStore(now));
  EXPECT_TRUE(PlanOf(4).ReadsStore(now));
  FeedPlan second = PlanOf(2);
  EXPECT_FALSE(second.ReadsStore(now));
  EXPECT_EQ(second.PeerToAsk(now), At(1));
}

TEST(FeedPlan, TakesTheNextOneWhenAReaderIsNotFresh) {
  TimePoint now{milliseconds(1000)};
  FeedPlan third = PlanOf(3);
  {
    SCOPED_TRACE("no answer: the second one is asked");
    EXPECT_FALSE(third.OnPeerAnswer(At(1), std::nullopt, now));
    EXPECT_EQ(third.PeerToAsk(now), At(2));
  }
  {
    SCOPED_TRACE("an old answer: nobody is left in front, the store is read");
    EXPECT_FALSE(third.OnPeerAnswer(At(2), milliseconds(1500), now));
    EXPECT_TRUE(third.ReadsStore(now));
    EXPECT_FALSE(third.PeerToAsk(now));
  }
  {
    SCOPED_TRACE("later the first one is tried again");
    now += milliseconds(2500);
    EXPECT_EQ(third.PeerToAsk(now), At(1));
    EXPECT_TRUE(third.OnPeerAnswer(At(1), milliseconds(300), now));
    EXPECT_FALSE(third.ReadsStore(now));
  }
}

TEST(FeedPlan, AsksEveryPeerInTurnWhenTheStoreTurnsItAway) {
  const TimePoint now{milliseconds(1000)};
  FeedPlan first = PlanOf(1);
  EXPECT_FALSE(first.PeerToAsk(now));
  first.OnStoreResult(false, now);
  EXPECT_TRUE(first.ReadsStore(now));
  {
    SCOPED_TRACE("a peer without an answer makes room for the next");
    EXPECT_EQ(first.PeerToAsk(now), At(2));
    first.OnPeerAnswer(At(2), std::nullopt, now);
    EXPECT_EQ(first.PeerToAsk(now), At(3));
    first.OnPeerAnswer(At(3), milliseconds(5000), now);
    EXPECT_EQ(first.PeerToAsk(now), At(4));
  }
  {
    SCOPED_TRACE("one with fresh rows is kept");
    EXPECT_TRUE(first.OnPeerAnswer(At(4), milliseconds(100), now));
    EXPECT_EQ(first.PeerToAsk(now), At(4));
  }
  first.OnStoreResult(true, now);
  EXPECT_FALSE(first.PeerToAsk(now));
}

// Rows that two gateways have from each other alone grow old for both.
TEST(FeedPlan, KnowsHowOldItsRowsAreWhoeverToldThem) {
  TimePoint now{milliseconds(1000)};
  FeedPlan plan = PlanOf(2);
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
