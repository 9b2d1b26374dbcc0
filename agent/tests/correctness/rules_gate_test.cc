#include "rules_gate.h"

#include <gtest/gtest.h>

namespace peridotgate::agent {
namespace {

wire::Dispatch DispatchUnder(std::int64_t version) {
  wire::Dispatch it;
  it.organisation = "tailors";
  it.config_version = version;
  return it;
}

TEST(RulesGate, DetectsOlderRulesOfTheSameOrganisation) {
  coordination::ConfigurationFollower rules(8);
  coordination::Change change;
  change.version = 1;
  change.sections = {{"organisation/tailors", "one", false, 0}};
  rules.Apply(change);
  change.version = 2;
  change.sections[0].name = "organisation/others";
  rules.Apply(change);
  RulesGate gate;
  gate.Follow(rules);
  {
    SCOPED_TRACE("changes of other organisations are ignored");
    EXPECT_FALSE(gate.IsStale(DispatchUnder(1)));
    EXPECT_TRUE(gate.IsStale(DispatchUnder(0)));
    EXPECT_EQ(gate.version(), 2);
  }
  {
    SCOPED_TRACE("an admitted dispatch under newer rules raises the version");
    gate.Admit(DispatchUnder(5));
    EXPECT_TRUE(gate.IsStale(DispatchUnder(1)));
    EXPECT_FALSE(gate.IsStale(DispatchUnder(5)));
    EXPECT_EQ(gate.version(), 5);
  }
  {
    SCOPED_TRACE("removing an organisation's rules is a change too");
    change.version = 3;
    change.sections[0] = {"organisation/fresh", "", true, 0};
    rules.Apply(change);
    wire::Dispatch fresh = DispatchUnder(2);
    fresh.organisation = "fresh";
    EXPECT_TRUE(gate.IsStale(fresh));
  }
}

}  // namespace
}  // namespace peridotgate::agent
