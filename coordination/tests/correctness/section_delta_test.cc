// Tests the delta encoding of sections.
#include "coordination/section_delta.h"

#include <gtest/gtest.h>

namespace peridotgate::coordination {
namespace {

const std::string kBefore = "name: tailors, wait: 5 s, share: 40 %, keys: abc";

Section Of(const std::string& content) {
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
    const Section sent = EncodeDelta(Of(it), kBefore);
    EXPECT_EQ(DecodeDelta(sent, kBefore), it);
    EXPECT_LE(sent.content.size(), it.size());
    EXPECT_EQ(sent.version, 7);
  }
}

TEST(SectionDelta, OmitsUnchangedContent) {
  const Section sent = EncodeDelta(
      Of("name: tailors, wait: 2 s, share: 40 %, keys: abc"), kBefore);
  EXPECT_EQ(sent.content, "2");
  EXPECT_EQ(EncodeDelta(Of("short"), "shirt").checksum, 0U);
}

TEST(SectionDelta, ADeltaAgainstOtherContentIsRejected) {
  const Section sent = EncodeDelta(Of(kBefore + "!"), kBefore);
  EXPECT_FALSE(DecodeDelta(sent, "").has_value());
  EXPECT_FALSE(DecodeDelta(sent, std::string(kBefore.size(), '?')).has_value());
  {
    SCOPED_TRACE("a follower applies no section of such a change");
    ConfigurationFollower follower(4);
    follower.ApplySnapshot(1, std::vector<Section>{Of("another")});
    Change change;
    change.version = 2;
    change.sections = {Of("whole"), sent};
    change.sections[0].name = "organisation/desk";
    EXPECT_EQ(follower.Apply(change), FollowResult::kMismatch);
    EXPECT_EQ(follower.version(), 1);
    EXPECT_FALSE(follower.Find("organisation/desk").has_value());
  }
}

}  // namespace
}  // namespace peridotgate::coordination
