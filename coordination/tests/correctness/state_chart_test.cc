#include "coordination/state_chart.h"

#include <gtest/gtest.h>

#include "coordination/process_charts.h"
#include "coordination/request_charts.h"

namespace peridotgate::coordination {
namespace {

constexpr std::string_view kGood =
    "initial waiting\n"
    "waiting -start-> running  # begins\n"
    "running -end-> done\n"
    "final done\n"
    "never done -> running\n";

std::string FirstFault(std::string_view text) {
  auto chart = StateChart::Parse(text);
  return chart ? "" : chart.error().lines.front();
}

TEST(StateChart, FollowsTransitionsAndRejectsUnknownEvents) {
  const StateChart chart = StateChart::Embedded(kGood);
  ChartCursor cursor(chart);
  {
    SCOPED_TRACE("an event without a transition is rejected");
    EXPECT_FALSE(cursor.TryStep("end"));
    EXPECT_TRUE(cursor.Is("waiting"));
  }
  {
    SCOPED_TRACE("its events lead to the final state");
    cursor.Step("start");
    cursor.Step("end");
    EXPECT_TRUE(cursor.ended());
  }
}

TEST(StateChart, FaultyChartsAreRejected) {
  const std::string good(kGood);
  EXPECT_EQ(FirstFault(good + "lost -x-> done\n"), "unreachable state lost");
  EXPECT_EQ(FirstFault(good + "running -hang-> stuck\n"),
            "no path from stuck to a final state");
  EXPECT_EQ(FirstFault(good + "waiting -start-> done\n"),
            "two transitions for start in waiting");
  EXPECT_EQ(FirstFault(good + "done -again-> waiting\n"),
            "forbidden path from done to running");
  EXPECT_EQ(FirstFault(good + "nonsense\n"),
            "line 6: expected a transition or a declaration");
  EXPECT_EQ(FirstFault(good + "anytime end\n"),
            "no transition for end in waiting");
}

TEST(StateChart, EmbeddedChartsAreValid) {
  {
    SCOPED_TRACE("parsing a faulty chart would abort the process");
    EXPECT_TRUE(ClaimChart().IsFinal("kept"));
    EXPECT_TRUE(RequestChart().IsFinal("ended"));
    EXPECT_TRUE(FollowerChart().IsFinal("current"));
    EXPECT_TRUE(AgentLifecycleChart().IsFinal("stopped"));
  }
  {
    SCOPED_TRACE("an agent does not serve again after its signal");
    ChartCursor agent(AgentLifecycleChart());
    for (const char* it : {"started", "listed", "signal", "unlisted"}) {
      agent.Step(it);
    }
    EXPECT_TRUE(agent.Is("draining"));
    EXPECT_FALSE(agent.TryStep("started"));
  }
}

TEST(StateChartDeathTest, AStepWithoutATransitionAborts) {
  const StateChart chart = StateChart::Embedded(kGood);
  ChartCursor cursor(chart);
  EXPECT_DEATH(cursor.Step("end"), "invariant violated");
}

}  // namespace
}  // namespace peridotgate::coordination
