// Which gateways get the reports of others.
#include "usage_peers.h"

#include <map>
#include <string>
#include <vector>

#include <gtest/gtest.h>

namespace peridotgate::gateway {
namespace {

// The first gateways by address once got all reports, and half of a fleet of 68
// placed requests without knowing what the others had at the servers.
TEST(UsagePeers, EachGatewayGetsTheReportsOfEquallyManyOthers) {
  constexpr std::size_t kMax = 32;
  for (const int gateways : {2, 10, 33, 68, 430}) {
    SCOPED_TRACE(gateways);
    std::vector<runtime::Endpoint> all;
    all.reserve(static_cast<std::size_t>(gateways));
    for (int i = 0; i < gateways; ++i) {
      all.push_back(
          {"10." + std::to_string(i % 5) + ".0." + std::to_string(10 + i / 5),
           80});
    }
    std::map<std::string, std::size_t> reports;
    for (const auto& own : all) {
      for (const auto& it : SelectUsagePeers(own, all, kMax)) {
        EXPECT_FALSE(it == own);
        ++reports[runtime::ToString(it)];
      }
    }
    const auto expected = std::min<std::size_t>(kMax, all.size() - 1);
    EXPECT_EQ(reports.size(), all.size());
    for (const auto& [address, n] : reports) {
      EXPECT_EQ(n, expected) << address;
    }
  }
}

}  // namespace
}  // namespace peridotgate::gateway
