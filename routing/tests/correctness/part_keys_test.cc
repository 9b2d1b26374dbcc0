// Keys of the parts of a prompt.
#include "routing/part_keys.h"

#include <string>
#include <vector>

#include <gtest/gtest.h>

#include "routing/prefix_keys.h"

namespace peridotgate::routing {
namespace {

using Texts = std::vector<std::string>;

TEST(PartKeys, DependOnTheTextOfTheirPartAndTheTargetAlone) {
  const auto keys = PartKeys("model:m", Texts{"a", "b", "own"});
  ASSERT_EQ(keys.size(), 2U);
  EXPECT_EQ(PartKeys("model:m", Texts{"x", "y", "b", "own"})[2], keys[1]);
  EXPECT_NE(PartKeys("model:n", Texts{"a", "b", "own"})[1], keys[1]);
  {
    SCOPED_TRACE("the last part is the request's own");
    EXPECT_TRUE(PartKeys("model:m", Texts{"own"}).empty());
    EXPECT_TRUE(PartKeys("model:m", Texts{}).empty());
  }
  {
    SCOPED_TRACE("their number is bounded");
    EXPECT_EQ(PartKeys("model:m", Texts(1000, "a")).size(), kMaxPartKeys);
  }
}

TEST(PartKeys, APromptOfOneTextIsSplit) {
  const std::string piece(kTokensPerPiece * kBytesPerToken, 'a');
  EXPECT_EQ(SplitPrompt(piece + piece + "b"), (Texts{piece, piece, "b"}));
  EXPECT_EQ(SplitPrompt("b"), Texts{"b"});
  EXPECT_TRUE(SplitPrompt("").empty());
}

}  // namespace
}  // namespace peridotgate::routing
