#include "routing/prefix_keys.h"

#include <string>

#include <gtest/gtest.h>

namespace peridotgate::routing {
namespace {

TEST(PrefixKeys, EqualPrefixesInOneScopeHaveEqualKeys) {
  const std::string shared(2 * kTokensPerPiece * kBytesPerToken, 's');
  const std::string one = shared + std::string(9000, 'a');
  const std::string two = shared + std::string(9000, 'b');
  PrefixScope scope{"tailors", "horn-1", "", 1};
  auto first = PrefixKeys(scope, one);
  auto second = PrefixKeys(scope, two);
  ASSERT_EQ(first.size(), 3U);
  {
    SCOPED_TRACE("shared pieces have equal keys, the last one differs");
    EXPECT_EQ(first[0], second[0]);
    EXPECT_EQ(first[1], second[1]);
    EXPECT_NE(first[2], second[2]);
  }
  {
    SCOPED_TRACE("keys differ across organisations and weights versions");
    EXPECT_NE(first[0], PrefixKeys({"coats", "horn-1", "", 1}, one)[0]);
    EXPECT_NE(first[0], PrefixKeys({"tailors", "horn-1", "", 2}, one)[0]);
    EXPECT_NE(first[0], PrefixKeys({"tailorshorn", "-1", "", 1}, one)[0]);
  }
}

}  // namespace
}  // namespace peridotgate::routing
