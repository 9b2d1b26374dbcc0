#include "operate/status_table.h"

#include <gtest/gtest.h>

namespace peridotgate::operate {
namespace {

std::string Member(std::string_view state, int version, int incarnation) {
  return R"({"members":[{"instance":"agent-0","role":"agent","data_centre":"dc-0",)"
         R"("state":")" +
         std::string(state) + R"(","config_version":)" +
         std::to_string(version) + R"(,"incarnation":)" +
         std::to_string(incarnation) + "}]}";
}

TEST(StatusTable, KeepsTheNewestStatus) {
  StatusTable table;
  table.AddEntry({"entry-0", "entry", "dc-0", "alive", 5, 0});
  table.AddMembers(Member("alive", 4, 7));
  ASSERT_EQ(table.statuses().size(), 2U);
  {
    SCOPED_TRACE("an agent that lacks the newest version is behind");
    ASSERT_EQ(FindLagging(table.statuses(), 5).size(), 1U);
    EXPECT_EQ(FindLagging(table.statuses(), 5)[0].instance, "agent-0");
  }
  {
    SCOPED_TRACE("an older status changes nothing");
    table.AddMembers(Member("alive", 3, 7));
    table.AddMembers(Member("alive", 9, 6));
    EXPECT_EQ(table.statuses()[1].version, 4);
  }
  {
    SCOPED_TRACE("it catches up");
    table.AddMembers(Member("alive", 5, 7));
    EXPECT_TRUE(FindLagging(table.statuses(), 5).empty());
  }
  {
    SCOPED_TRACE("it restarts and has to read the rules first");
    table.AddMembers(Member("alive", 0, 8));
    EXPECT_EQ(FindLagging(table.statuses(), 5).size(), 1U);
  }
  {
    SCOPED_TRACE("nobody waits for one that leaves");
    table.AddMembers(Member("leaving", 1, 8));
    EXPECT_TRUE(FindLagging(table.statuses(), 5).empty());
  }
}

TEST(StatusTable, IgnoresMalformedResponses) {
  StatusTable table;
  for (const std::string& it :
       {std::string(), std::string("{}"),
        std::string("{\"members\":[{\"instance\":1}]}"),
        std::string("{\"members\":[7]}"), std::string("[]")}) {
    table.AddMembers(it);
    EXPECT_TRUE(table.statuses().empty()) << it;
  }
}

}  // namespace
}  // namespace peridotgate::operate
