// The simulated table rejects the transactions that the real service rejects.
#include <gtest/gtest.h>
#include <spdlog/fmt/fmt.h>

#include "standins/platform_model.h"

namespace peridotgate::standins {
namespace {

namespace json = boost::json;

constexpr int kMaxRows = 100;

json::object Row(int i) {
  return {{"pk", {{"S", "p"}}},
          {"sk", {{"S", fmt::format("{:04}", i)}}},
          {"body", {{"B", "x"}}}};
}

TableAnswer Write(TableModel& table,
                  const std::string& token,
                  json::array rows) {
  json::array items;
  for (json::value& it : rows) {
    items.push_back(json::object{{"Put", {{"Item", std::move(it)}}}});
  }
  return table.Call(
      "TransactWriteItems",
      {{"ClientRequestToken", token}, {"TransactItems", std::move(items)}});
}

std::size_t CountRows(TableModel& table) {
  const auto answer =
      table.Call("Query", {{"ExpressionAttributeValues",
                            {{":pk", {{"S", "p"}}}, {":after", {{"S", ""}}}}},
                           {"Limit", 10 * kMaxRows}});
  return answer.body.at("Items").as_array().size();
}

TEST(TableModel, RejectsTransactionsThatTheServiceRejects) {
  TableModel table;
  json::array rows;
  for (int i = 0; i < kMaxRows; ++i) {
    rows.push_back(Row(i));
  }
  json::array more = rows;
  more.push_back(Row(kMaxRows));
  {
    SCOPED_TRACE(
        "a row too many, no row, or one row twice: nothing is written");
    EXPECT_EQ(Write(table, "a", more).status, 400U);
    EXPECT_EQ(Write(table, "b", {}).status, 400U);
    EXPECT_EQ(Write(table, "c", {Row(1), Row(1)}).status, 400U);
    EXPECT_EQ(CountRows(table), 0U);
  }
  {
    SCOPED_TRACE("as many as are allowed");
    EXPECT_EQ(Write(table, "d", rows).status, 200U);
    EXPECT_EQ(CountRows(table), static_cast<std::size_t>(kMaxRows));
  }
}

}  // namespace
}  // namespace peridotgate::standins
