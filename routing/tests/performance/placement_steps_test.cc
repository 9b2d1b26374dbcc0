// The work of a lookup must not grow with the fleet. Checked by the lookup
// results, since time depends on the machine.
#include <string>
#include <vector>

#include <gtest/gtest.h>

#include "routing/placement.h"

namespace peridotgate::routing {
namespace {

TEST(PlacementSteps, LookupsSpreadEvenlyOverALargeFleet) {
  std::vector<ServerSeat> seats;
  seats.reserve(12000);
  for (int i = 0; i < 12000; ++i) {
    seats.push_back({"model-" + std::to_string(i), 1.0});
  }
  const PlacementTable table(seats);
  std::vector<int> used(seats.size());
  for (std::uint64_t i = 1; i <= 120000; ++i) {
    ++used[table.Homes(i * 0x9e3779b97f4a7c15, 1).front()];
  }
  int unused = 0;
  int max_used = 0;
  for (int it : used) {
    unused += it == 0 ? 1 : 0;
    max_used = std::max(max_used, it);
  }
  EXPECT_LT(unused, 120);
  EXPECT_LT(max_used, 40);
}

}  // namespace
}  // namespace peridotgate::routing
