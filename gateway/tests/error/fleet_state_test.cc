// The fleet state must stay correct when rows arrive late, repeatedly,
// unreadable or not at all.
#include "gateway/fleet_state.h"

#include <gtest/gtest.h>

#include "../plain_format.h"

namespace peridotgate::gateway {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

class FleetStateTest : public testing::Test {
 protected:
  void PutOperatorRow(const std::string& key, const std::string& value) {
    state_.OnOperatorRows({{{key, value, ++version_, false}}, version_}, now_);
    state_.TakeChanged();
  }
  void PutServerRow(const std::string& key, const std::string& value) {
    state_.OnServerRows({{{key, value, ++version_, value.empty()}}, version_},
                        false, now_);
    state_.TakeChanged();
  }
  bool Has(const std::string& key) {
    state_.Expire(now_);
    state_.TakeChanged();
    return state_.view().servers->contains(key);
  }

  PlainFormat format_;
  FleetState state_{format_};
  TimePoint now_{seconds(100)};
  std::int64_t version_ = 0;
};

TEST_F(FleetStateTest, NeverRevertsRulesOrWeights) {
  PutOperatorRow("rules", "5");
  PutOperatorRow("rules", "3");
  EXPECT_EQ(state_.view().rules->version(), 5);
  PutOperatorRow("rules", "broken");
  EXPECT_EQ(state_.view().rules->version(), 5);
  EXPECT_EQ(state_.TakeFaults().size(), 1U);
  PutOperatorRow("rules", "4");
  EXPECT_EQ(state_.view().rules->version(), 5);
  PutOperatorRow("rules", "9");
  EXPECT_EQ(state_.view().rules->version(), 9);
  PutOperatorRow("model", "4");
  PutOperatorRow("model", "2");
  EXPECT_EQ(state_.view().weights->at("model"), 4);
}

TEST_F(FleetStateTest, DropsRemovedAndUnreadableServers) {
  for (const char* it : {"a", "b", "c", "d"}) {
    PutServerRow(it, "ready");
  }
  PutServerRow("a", "leaving");
  EXPECT_TRUE(state_.view().servers->at("a").leaving);
  PutServerRow("a", "");
  EXPECT_FALSE(Has("a"));
  PutServerRow("b", "sleeping");
  EXPECT_FALSE(Has("b"));
  PutServerRow("c", "");
  EXPECT_FALSE(Has("c"));
  EXPECT_TRUE(Has("d"));
}

TEST_F(FleetStateTest, KeepsServersWhoseRowsExpiredInAnOutage) {
  for (const char* it : {"a", "b", "c", "d"}) {
    PutServerRow(it, "ready");
  }
  {
    SCOPED_TRACE("a server missing after a store outage is kept");
    state_.OnStoreLost();
    now_ += milliseconds(500);
    state_.OnServerRows({{{"d", "ready", ++version_, false}}, version_}, true,
                        now_);
    EXPECT_TRUE(Has("a"));
  }
  {
    SCOPED_TRACE("servers still missing after the grace period are removed");
    now_ += milliseconds(1000);
    PutServerRow("a", "ready");
    now_ += milliseconds(1500);
    EXPECT_TRUE(Has("a"));
    EXPECT_FALSE(Has("b"));
    EXPECT_FALSE(Has("c"));
  }
  {
    SCOPED_TRACE("servers are kept when most rows vanish at once");
    now_ += seconds(60);
    state_.OnServerRows({{}, ++version_}, true, now_);
    EXPECT_TRUE(Has("a"));
    now_ += seconds(3);
    EXPECT_FALSE(Has("a"));
  }
}

// A server that leaves must get no request two seconds after its row is gone.
TEST_F(FleetStateTest, RemovesAServerThatLeavesAfterAnOutageInTime) {
  for (const char* it : {"a", "b", "c", "d"}) {
    PutServerRow(it, "ready");
  }
  state_.OnStoreLost();
  now_ += milliseconds(100);
  PutServerRow("a", "ready");
  now_ += milliseconds(1800);
  PutServerRow("b", "");
  now_ += milliseconds(300);
  EXPECT_FALSE(Has("b"));
  now_ += milliseconds(200);
  PutServerRow("c", "");
  EXPECT_FALSE(Has("c"));
}

TEST_F(FleetStateTest, PublishesSwitchesAndExpiresUnfinishedOnes) {
  PutServerRow("a", "ready");
  state_.OnRollout({{"a", {"model", 1, true}}, {"gone", {"model", 1, true}}},
                   now_);
  state_.TakeChanged();
  EXPECT_TRUE(state_.view().rollout->at("a").switching);
  EXPECT_FALSE(state_.view().rollout->contains("gone"));
  now_ += seconds(5);
  EXPECT_TRUE(Has("a"));
  EXPECT_FALSE(state_.view().rollout->at("a").switching);
}

TEST_F(FleetStateTest, EndsASwitchWhenTheServersRowHasTheTarget) {
  PutOperatorRow("model", "2");
  PutServerRow("a", "ready");
  state_.OnRollout({{"a", {"model", 1, true}}}, now_);
  state_.TakeChanged();
  EXPECT_TRUE(state_.view().rollout->at("a").switching);
  {
    SCOPED_TRACE("ends without the leader once the row has the target");
    PutServerRow("a", "2");
    EXPECT_FALSE(state_.view().rollout->at("a").switching);
  }
}

}  // namespace
}  // namespace peridotgate::gateway
