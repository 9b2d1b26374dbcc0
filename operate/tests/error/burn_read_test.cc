#include "operate/burn_report.h"

#include <gtest/gtest.h>

namespace peridotgate::operate {
namespace {

constexpr BurnWindow kHour = entry::kDefaultBurnWindow;

TEST(BurnRead, RejectsMalformedResponses) {
  EXPECT_FALSE(ParseBurn("", kHour));
  EXPECT_FALSE(ParseBurn("[]", kHour));
  EXPECT_FALSE(ParseBurn("{\"instance\":\"e0\"}", kHour));
  const auto body = [](const std::string& window, const std::string& lengths) {
    return R"({"instance":"e0","uptime_s":1,"rules_version":1,"window":")" +
           window + R"(","windows_s":)" + lengths +
           R"(,"kinds":[],"servers":[]})";
  };
  const std::string lengths = "[300,1800,3600,21600]";
  EXPECT_FALSE(ParseBurn(body("1h", "[300,1800,3600]"), kHour));
  EXPECT_FALSE(ParseBurn(body("1h", "[300,1800,3600,7]"), kHour));
  EXPECT_FALSE(ParseBurn(body("6h", lengths), kHour));
  EXPECT_TRUE(ParseBurn(body("1h", lengths), kHour));
}

}  // namespace
}  // namespace peridotgate::operate
