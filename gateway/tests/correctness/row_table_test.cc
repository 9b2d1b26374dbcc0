// Changes of rows that one gateway sends to another.
#include "gateway/row_table.h"

#include <string>

#include <gtest/gtest.h>

namespace peridotgate::gateway {
namespace {

// A version of a store that tells no eras.
StoreVersion At(std::int64_t number) {
  return {0, number};
}

TEST(RowTable, ReturnsChangesAfterAVersion) {
  RowTable table;
  EXPECT_TRUE(table.Apply(
      {{{"a", "1", At(3), false}, {"b", "1", At(4), false}}, At(5)}, true));
  EXPECT_TRUE(table.Apply(
      {{{"b", "", At(7), true}, {"c", "1", At(8), false}}, At(8)}, false));
  {
    SCOPED_TRACE("changes include removed rows");
    const auto changes = table.ChangesAfter(At(5));
    ASSERT_TRUE(changes);
    EXPECT_EQ(changes->version, At(8));
    ASSERT_EQ(changes->rows.size(), 2U);
    EXPECT_TRUE(changes->rows[0].removed);
    EXPECT_EQ(changes->rows[1].key, "c");
  }
  {
    SCOPED_TRACE("changes before the first read are not known");
    EXPECT_FALSE(table.ChangesAfter(At(4)));
    EXPECT_EQ(table.All().rows.size(), 2U);
  }
  {
    SCOPED_TRACE("outdated rows change nothing");
    EXPECT_FALSE(table.Apply({{{"c", "0", At(2), false}}, At(6)}, true));
    EXPECT_EQ(table.All().rows.size(), 2U);
    EXPECT_EQ(table.version(), At(8));
  }
}

TEST(RowTable, PrunesTombstones) {
  RowTable table;
  table.Apply({{}, At(1)}, true);
  for (std::int64_t i = 2; i < 400; ++i) {
    table.Apply({{{"row-" + std::to_string(i), "", At(i), true}}, At(i)},
                false);
  }
  EXPECT_FALSE(table.ChangesAfter(At(1)));
  const auto changes = table.ChangesAfter(At(399));
  ASSERT_TRUE(changes);
  EXPECT_TRUE(changes->rows.empty());
}

// Gateways took no change until the versions had passed the lost ones.
TEST(RowTable, TakesTheRowsOfALaterEraThatHasLowerVersions) {
  RowTable table;
  ASSERT_TRUE(table.Apply({{{"a", "1", {1, 90}, false}}, {1, 90}}, true));
  {
    SCOPED_TRACE("changes alone do not follow on the known rows");
    EXPECT_FALSE(table.Apply({{{"a", "2", {2, 91}, false}}, {2, 91}}, false));
    EXPECT_EQ(table.version(), (StoreVersion{1, 90}));
  }
  {
    SCOPED_TRACE("the full table replaces them");
    EXPECT_TRUE(table.Apply({{{"a", "3", {2, 40}, false}}, {2, 40}}, true));
    EXPECT_EQ(table.Find("a")->value, "3");
  }
  {
    SCOPED_TRACE("a gateway of the earlier era gets the full table");
    EXPECT_FALSE(table.ChangesAfter({1, 90}));
    EXPECT_TRUE(table.HasChangesAfter({1, 90}));
    EXPECT_TRUE(table.ChangesAfter({2, 40}));
  }
  {
    SCOPED_TRACE("a late answer of the earlier era changes nothing");
    EXPECT_FALSE(table.Apply({{{"a", "1", {1, 95}, false}}, {1, 95}}, true));
    EXPECT_EQ(table.Find("a")->value, "3");
  }
}

}  // namespace
}  // namespace peridotgate::gateway
