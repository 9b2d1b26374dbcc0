// Changes of rows that one gateway sends to another.
#include "gateway/row_table.h"

#include <string>

#include <gtest/gtest.h>

namespace peridotgate::gateway {
namespace {

TEST(RowTable, ReturnsChangesAfterAVersion) {
  RowTable table;
  EXPECT_TRUE(
      table.Apply({{{"a", "1", 3, false}, {"b", "1", 4, false}}, 5}, true));
  EXPECT_TRUE(
      table.Apply({{{"b", "", 7, true}, {"c", "1", 8, false}}, 8}, false));
  {
    SCOPED_TRACE("changes include removed rows");
    const auto changes = table.ChangesAfter(5);
    ASSERT_TRUE(changes);
    EXPECT_EQ(changes->version, 8);
    ASSERT_EQ(changes->rows.size(), 2U);
    EXPECT_TRUE(changes->rows[0].removed);
    EXPECT_EQ(changes->rows[1].key, "c");
  }
  {
    SCOPED_TRACE("changes before the first read are not known");
    EXPECT_FALSE(table.ChangesAfter(4));
    EXPECT_EQ(table.All().rows.size(), 2U);
  }
  {
    SCOPED_TRACE("outdated rows change nothing");
    EXPECT_FALSE(table.Apply({{{"c", "0", 2, false}}, 6}, true));
    EXPECT_EQ(table.All().rows.size(), 2U);
    EXPECT_EQ(table.version(), 8);
  }
}

TEST(RowTable, PrunesTombstones) {
  RowTable table;
  table.Apply({{}, 1}, true);
  for (std::int64_t i = 2; i < 400; ++i) {
    table.Apply({{{"row-" + std::to_string(i), "", i, true}}, i}, false);
  }
  EXPECT_FALSE(table.ChangesAfter(1));
  const auto changes = table.ChangesAfter(399);
  ASSERT_TRUE(changes);
  EXPECT_TRUE(changes->rows.empty());
}

}  // namespace
}  // namespace peridotgate::gateway
