// Tests the delta encoding of sections.
#include "coordination/section_delta.h"

#include <gtest/gtest.h>

namespace peridotgate::coordination {
namespace {

const std::string kBefore = "name: tailors, wait: 5 s, share: 40 %, keys: abc";

Section MakeSection(const std::string& content) {
  return {"organisation/tailors", content, false, 7};
}

TEST(SectionDelta, RoundTripRestoresTheContent) {
  const std::vector<std::string> contents = {
      kBefore,
      "name: tailors, wait: 2 s, share: 40 %, keys: abc",
      kBefore + "def",
      "new " + kBefore,
      kBefore.substr(4),
      "",
      std::string(kBefore.size(), 'x'),
      kBefore + kBefore,
  };
  for (const std::string& it : contents) {
    SCOPED_TRACE(it);
    const Section delta = EncodeDelta(MakeSection(it), kBefore);
    EXPECT_EQ(DecodeDelta(delta, kBefore), it);
    EXPECT_LE(delta.content.size(), it.size());
    EXPECT_EQ(delta.version, 7);
  }
}

TEST(SectionDelta, OmitsUnchangedContent) {
  const Section delta = EncodeDelta(
      MakeSection("name: tailors, wait: 2 s, share: 40 %, keys: abc"), kBefore);
  EXPECT_EQ(delta.content, "2");
  EXPECT_EQ(EncodeDelta(MakeSection("short"), "shirt").checksum, 0U);
}

TEST(SectionDelta, ADeltaAgainstOtherContentIsRejected) {
  const Section delta = EncodeDelta(MakeSection(kBefore + "!"), kBefore);
  EXPECT_FALSE(DecodeDelta(delta, "").has_value());
  EXPECT_FALSE(
      DecodeDelta(delta, std::string(kBefore.size(), '?')).has_value());
  {
    SCOPED_TRACE("a follower applies no section of such a change");
    ConfigurationFollower follower(4);
    follower.ApplySnapshot(1, std::vector<Section>{MakeSection("another")});
    Change change;
    change.version = 2;
    change.sections = {MakeSection("whole"), delta};
    change.sections[0].name = "organisation/desk";
    EXPECT_EQ(follower.Apply(change), FollowResult::kMismatch);
    EXPECT_EQ(follower.version(), 1);
    EXPECT_FALSE(follower.Find("organisation/desk").has_value());
  }
}

}  // namespace
}  // namespace peridotgate::coordination
