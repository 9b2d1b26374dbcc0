#include <gtest/gtest.h>

#include "../../src/engine_request.h"
#include "../core_harness.h"

namespace peridotgate::agent {
namespace {

TEST(EnginePriorityTest, BodyContainsThePriority) {
  EXPECT_EQ(WithPriority("{}", 1), R"({"priority":1})");
  EXPECT_EQ(WithPriority(" { } \n", 0), R"( { "priority":0})");
  EXPECT_EQ(WithPriority(R"({"prompt":"x"})", 1),
            R"({"prompt":"x","priority":1})");
  {
    SCOPED_TRACE("a caller's own priority is overridden in any spelling");
    EXPECT_EQ(WithPriority(R"({"priority":-9,"n":1})", 1),
              R"({"priority":1,"n":1})");
    EXPECT_EQ(WithPriority(R"({"prio\u0072ity":-9})", 1),
              R"({"prio\u0072ity":-9,"priority":1})");
  }
  {
    SCOPED_TRACE("a body that isn't an object is unchanged");
    for (const char* it : {"", "}", "[1]", "{\"priority\":", "x}"}) {
      EXPECT_EQ(WithPriority(it, 1), it);
    }
  }
}

TEST(EnginePriorityTest, LongWorkRanksAfterShort) {
  CoreHarness agent;
  agent.core.OnDispatch(1, CoreHarness::MakeDispatch(1, true));
  wire::Dispatch contract = CoreHarness::MakeDispatch(2, true);
  contract.long_work = true;
  agent.core.OnDispatch(1, contract);
  {
    SCOPED_TRACE("the entry's priority counts for a call that is short here");
    wire::Dispatch marked_long = CoreHarness::MakeDispatch(3, true);
    marked_long.priority = 1;
    agent.core.OnDispatch(1, marked_long);
  }
  const std::vector<BackendCall> calls = agent.outputs.Calls();
  ASSERT_EQ(calls.size(), 3U);
  EXPECT_EQ(calls[0].dispatch.priority, 0);
  EXPECT_EQ(calls[1].dispatch.priority, 1);
  EXPECT_EQ(calls[2].dispatch.priority, 1);
}

}  // namespace
}  // namespace peridotgate::agent
