// Malformed ids of stream events, which no entry has issued.
#include <gtest/gtest.h>

#include "caller_request.h"

namespace peridotgate::entry {
namespace {

constexpr std::string_view kPrefix =
    "0123456789abcdef0123456789abcdef/127.0.0.1:7000/";

TEST(EventId, MalformedIdsAreRejected) {
  const std::string prefix(kPrefix);
  {
    SCOPED_TRACE("an id as issued by an entry");
    auto point = ParseEventId(prefix + "12");
    ASSERT_TRUE(point.has_value());
    EXPECT_EQ(point->resume.position, 13);
  }
  {
    SCOPED_TRACE("a position whose successor can't be represented");
    EXPECT_FALSE(ParseEventId(prefix + "9223372036854775807").has_value());
    EXPECT_FALSE(ParseEventId(prefix + "9223372036854775808").has_value());
  }
  {
    SCOPED_TRACE("a position that is not a whole number");
    for (const char* it : {"", "-1", "12x", "x", " 12", "12/13"}) {
      EXPECT_FALSE(ParseEventId(prefix + it).has_value()) << it;
    }
  }
}

}  // namespace
}  // namespace peridotgate::entry
