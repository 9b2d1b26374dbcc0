// The fleet state must stay correct when rows arrive late, repeatedly,
// unreadable or not at all.
#include "gateway/fleet_state.h"

#include <string>
#include <utility>
#include <vector>

#include <gtest/gtest.h>

#include "../plain_format.h"

namespace peridotgate::gateway {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

class FleetStateTest : public testing::Test {
 protected:
  void PutOperatorRow(const std::string& key, const std::string& value) {
    state_.OnOperatorRows({{{key, value, Next(), false}}, At()}, now_);
    state_.TakeChanged();
  }
  void PutServerRow(const std::string& key, const std::string& value) {
    state_.OnServerRows({{{key, value, Next(), value.empty()}}, At()}, false,
                        now_);
    state_.TakeChanged();
  }
  bool Has(const std::string& key) {
    state_.Expire(now_);
    state_.TakeChanged();
    return state_.view().servers->contains(key);
  }

  StoreVersion At() const { return {era_, version_}; }
  StoreVersion Next() {
    ++version_;
    return At();
  }

  PlainFormat format_;
  FleetState state_{format_};
  TimePoint now_{seconds(100)};
  std::int64_t era_ = 0;
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
    state_.OnServerRows({{{"d", "ready", Next(), false}}, At()}, true, now_);
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
    state_.OnServerRows({{}, Next()}, true, now_);
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

// The store was restored from a backup that lacks the last changes.
class RestoredRows : public FleetStateTest {
 protected:
  // Applies the full table of a new era.
  void Restore(const std::vector<std::pair<std::string, std::string>>& rows) {
    ++era_;
    version_ = 1;
    StoredRows table;
    table.version = At();
    for (const auto& [key, value] : rows) {
      table.rows.push_back({key, value, At(), false});
    }
    state_.OnServerRows(table, true, now_);
    state_.TakeChanged();
  }
  bool IsLeaving(const std::string& key) {
    return state_.view().servers->at(key).leaving;
  }

  // More than three intervals of the servers' writes.
  static constexpr seconds kRewritten{5};
};

TEST_F(RestoredRows, ServersThatLeftStayAway) {
  for (const char* it : {"a", "b", "c", "d"}) {
    PutServerRow(it, "ready 1");
  }
  PutServerRow("a", "leaving 2");
  PutServerRow("b", "");
  Restore(
      {{"a", "ready 1"}, {"b", "ready 1"}, {"c", "ready 1"}, {"d", "ready 1"}});
  {
    SCOPED_TRACE("the rows of the copy are older than what is known");
    EXPECT_TRUE(IsLeaving("a"));
    EXPECT_FALSE(Has("b"));
    EXPECT_TRUE(Has("c"));
  }
  {
    SCOPED_TRACE("a server that writes again is there");
    PutServerRow("b", "ready 1");
    EXPECT_TRUE(Has("b"));
  }
  {
    SCOPED_TRACE("the store removes the rows that are not written again");
    PutServerRow("a", "");
    now_ += kRewritten;
    EXPECT_FALSE(Has("a"));
  }
}

TEST_F(RestoredRows, TheStoreCountsOnceItsRowsHaveBeenWrittenAgain) {
  for (const char* it : {"a", "b", "c"}) {
    PutServerRow(it, "ready 1");
  }
  PutServerRow("b", "");
  Restore({{"a", "ready 1"}, {"b", "ready 1"}});
  {
    SCOPED_TRACE("a row that the copy lacks is kept, and may come back");
    EXPECT_TRUE(Has("c"));
  }
  now_ += kRewritten;
  EXPECT_FALSE(Has("c"));
  EXPECT_TRUE(Has("b"));
}

}  // namespace
}  // namespace peridotgate::gateway
