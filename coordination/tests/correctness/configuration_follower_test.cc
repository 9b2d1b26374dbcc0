#include "coordination/configuration_follower.h"

#include <gtest/gtest.h>

namespace peridotgate::coordination {
namespace {

Change MakeChange(std::int64_t version, std::string content) {
  Change change;
  change.version = version;
  change.sections = {{"organisation/a", std::move(content), false}};
  return change;
}

TEST(ConfigurationFollower, OldInputsDoNotRestoreOldVersions) {
  ConfigurationFollower follower(4);
  EXPECT_EQ(follower.Apply(MakeChange(1, "one")), FollowResult::kApplied);
  EXPECT_EQ(follower.Apply(MakeChange(2, "two")), FollowResult::kApplied);
  {
    SCOPED_TRACE("an older change arrives late");
    EXPECT_EQ(follower.Apply(MakeChange(1, "one")),
              FollowResult::kAlreadyKnown);
    EXPECT_EQ(follower.Find("organisation/a"), "two");
  }
  {
    SCOPED_TRACE("an older snapshot arrives late");
    EXPECT_EQ(follower.ApplySnapshot(1, {}), FollowResult::kAlreadyKnown);
    EXPECT_EQ(follower.version(), 2);
  }
  {
    SCOPED_TRACE("an earlier change is missing");
    EXPECT_EQ(follower.Apply(MakeChange(4, "four")), FollowResult::kGap);
    EXPECT_EQ(follower.Find("organisation/a"), "two");
  }
}

TEST(ConfigurationFollower, ReturnsOnlyChangesThatItKeeps) {
  ConfigurationFollower follower(2);
  for (int i = 1; i <= 4; ++i) {
    follower.Apply(MakeChange(i, std::to_string(i)));
  }
  EXPECT_FALSE(follower.ChangesSince(1).has_value());
  auto newer = follower.ChangesSince(2);
  ASSERT_TRUE(newer.has_value());
  ASSERT_EQ(newer->size(), 2U);
  EXPECT_EQ(newer->front().version, 3);
}

TEST(ConfigurationFollower, SectionsHaveTheVersionOfTheirLastChange) {
  ConfigurationFollower follower(4);
  follower.Apply(MakeChange(1, "one"));
  Change other;
  other.version = 2;
  other.sections = {{"organisation/b", "two", false, 0}};
  follower.Apply(other);
  EXPECT_EQ(follower.SectionVersion("organisation/a"), 1);
  EXPECT_EQ(follower.SectionVersion("organisation/b"), 2);
  {
    SCOPED_TRACE("a removal counts as a change");
    other.version = 3;
    other.sections[0].removed = true;
    follower.Apply(other);
    EXPECT_FALSE(follower.Find("organisation/b").has_value());
    EXPECT_EQ(follower.SectionVersion("organisation/b"), 3);
    EXPECT_EQ(follower.Snapshot().size(), 1U);
  }
  {
    SCOPED_TRACE("an exported configuration keeps section versions");
    ConfigurationFollower second(4);
    second.ApplySnapshot(3, follower.Export());
    EXPECT_EQ(second.SectionVersion("organisation/a"), 1);
    EXPECT_EQ(second.SectionVersion("organisation/b"), 3);
    EXPECT_FALSE(second.Find("organisation/b").has_value());
  }
}

}  // namespace
}  // namespace peridotgate::coordination
