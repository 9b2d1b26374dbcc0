// What rows mean when they come late, twice, unreadable or not at all.
#include "gateway/fleet_state.h"

#include <gtest/gtest.h>

#include "../plain_format.h"

namespace peridotgate::gateway {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

class State : public testing::Test {
 protected:
  void Operator(const std::string& key, const std::string& value) {
    state_.OnOperatorRows({{{key, value, ++version_, false}}, version_}, now_);
    state_.TakeChanged();
  }
  void Server(const std::string& key, const std::string& value) {
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

TEST_F(State, TakesRulesAndWeightsForwardOnly) {
  Operator("rules", "5");
  Operator("rules", "3");
  EXPECT_EQ(state_.view().rules->version(), 5);
  Operator("rules", "broken");
  EXPECT_EQ(state_.view().rules->version(), 5);
  EXPECT_EQ(state_.TakeFaults().size(), 1U);
  Operator("rules", "4");
  EXPECT_EQ(state_.view().rules->version(), 5);
  Operator("rules", "9");
  EXPECT_EQ(state_.view().rules->version(), 9);
  Operator("model", "4");
  Operator("model", "2");
  EXPECT_EQ(state_.view().weights->at("model"), 4);
}

TEST_F(State, DropsWhatLeftAndWhatCanNotBeRead) {
  for (const char* it : {"a", "b", "c", "d"}) {
    Server(it, "ready");
  }
  Server("a", "leaving");
  EXPECT_TRUE(state_.view().servers->at("a").leaving);
  Server("a", "");
  EXPECT_FALSE(Has("a"));
  Server("b", "sleeping");
  EXPECT_FALSE(Has("b"));
  Server("c", "");
  EXPECT_FALSE(Has("c"));
  EXPECT_TRUE(Has("d"));
}

TEST_F(State, KeepsServersWhoseEntriesLapsedWithTheStore) {
  for (const char* it : {"a", "b", "c", "d"}) {
    Server(it, "ready");
  }
  {
    SCOPED_TRACE("the store was away: a missing entry is waited for");
    state_.OnStoreLost(now_);
    now_ += milliseconds(500);
    state_.OnServerRows({{{"d", "ready", ++version_, false}}, version_}, true,
                        now_);
    EXPECT_TRUE(Has("a"));
  }
  {
    SCOPED_TRACE("one comes back, the others are gone after the grace");
    now_ += milliseconds(1000);
    Server("a", "ready");
    now_ += milliseconds(1500);
    EXPECT_TRUE(Has("a"));
    EXPECT_FALSE(Has("b"));
    EXPECT_FALSE(Has("c"));
  }
  {
    SCOPED_TRACE("most entries gone at once: the list lapsed, not the servers");
    now_ += seconds(60);
    state_.OnServerRows({{}, ++version_}, true, now_);
    EXPECT_TRUE(Has("a"));
    now_ += seconds(3);
    EXPECT_FALSE(Has("a"));
  }
}

TEST_F(State, TellsSwitchesAndForgetsThoseThatNeverEnd) {
  Server("a", "ready");
  state_.OnRollout({{"a", {"model", 1, true}}, {"gone", {"model", 1, true}}},
                   now_);
  state_.TakeChanged();
  EXPECT_TRUE(state_.view().rollout->at("a").switching);
  EXPECT_FALSE(state_.view().rollout->contains("gone"));
  now_ += seconds(5);
  EXPECT_TRUE(Has("a"));
  EXPECT_FALSE(state_.view().rollout->at("a").switching);
}

TEST_F(State, BelievesAServerThatItsSwitchIsDone) {
  Operator("model", "2");
  Server("a", "ready");
  state_.OnRollout({{"a", {"model", 1, true}}}, now_);
  state_.TakeChanged();
  EXPECT_TRUE(state_.view().rollout->at("a").switching);
  {
    SCOPED_TRACE("the order giver is gone; the entry has the named weights");
    Server("a", "2");
    EXPECT_FALSE(state_.view().rollout->at("a").switching);
  }
}

}  // namespace
}  // namespace peridotgate::gateway
