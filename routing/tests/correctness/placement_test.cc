#include "routing/placement.h"

#include <algorithm>
#include <set>
#include <span>
#include <string>
#include <vector>

#include <gtest/gtest.h>

namespace peridotgate::routing {
namespace {

constexpr std::uint64_t kKeys = 20000;

std::vector<ServerSeat> Seats(std::size_t n) {
  std::vector<ServerSeat> seats;
  for (std::size_t i = 0; i < n; ++i) {
    seats.push_back({"model-" + std::to_string(i), 1.0});
  }
  return seats;
}

std::uint64_t KeyAt(std::uint64_t i) {
  return (i + 1) * 0x9e3779b97f4a7c15;
}

TEST(Placement, RemovingAServerMovesOnlyItsOwnKeys) {
  const auto seats = Seats(9);
  const PlacementTable before(seats);
  const PlacementTable after(std::span<const ServerSeat>(seats).first(8));
  std::size_t moved = 0;
  for (std::uint64_t i = 0; i < kKeys; ++i) {
    const SeatIndex preferred = before.Homes(KeyAt(i), 1).front();
    const SeatIndex next = after.Homes(KeyAt(i), 1).front();
    if (preferred != 8) {
      SCOPED_TRACE("a key of a remaining server keeps its preferred server");
      ASSERT_EQ(preferred, next);
    }
    moved += preferred == 8 ? 1 : 0;
  }
  SCOPED_TRACE("about a ninth of the keys must move");
  EXPECT_LT(moved, kKeys / 9 * 3 / 2);
  EXPECT_GT(moved, kKeys / 9 / 2);
}

TEST(Placement, KeysSpreadEvenly) {
  for (std::size_t n : {3U, 9U, 100U}) {
    SCOPED_TRACE(n);
    const PlacementTable table(Seats(n));
    std::vector<std::size_t> keys(n);
    for (std::uint64_t i = 0; i < kKeys; ++i) {
      ++keys[table.Homes(KeyAt(i), 1).front()];
    }
    EXPECT_LT(std::ranges::max(keys), kKeys / n * 3 / 2);
    EXPECT_GT(std::ranges::min(keys), kKeys / n / 2);
  }
}

TEST(Placement, PreferredSeatsAreDistinct) {
  {
    SCOPED_TRACE("as many seats as requested, each once");
    const PlacementTable table(Seats(9));
    auto homes = table.Homes(7, 5);
    std::sort(homes.begin(), homes.end());
    EXPECT_EQ(homes.size(), 5U);
    EXPECT_EQ(std::unique(homes.begin(), homes.end()), homes.end());
  }
  {
    SCOPED_TRACE("at most as many seats as there are");
    EXPECT_EQ(PlacementTable(Seats(2)).Homes(7, 5).size(), 2U);
    EXPECT_TRUE(PlacementTable(Seats(0)).Homes(7, 5).empty());
  }
  {
    SCOPED_TRACE("known seats are not added again");
    std::vector<SeatIndex> seats = {4, 2};
    PlacementTable(Seats(9)).AddRandom(7, 20, seats);
    EXPECT_EQ(seats.size(), 9U);
    EXPECT_EQ(std::set(seats.begin(), seats.end()).size(), 9U);
  }
}

}  // namespace
}  // namespace peridotgate::routing
