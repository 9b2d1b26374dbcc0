// The timeline of a request from the logs of several processes.
#include "operate/explain.h"

#include <sstream>

#include <gtest/gtest.h>

namespace peridotgate::operate {
namespace {

std::string Line(const std::string& event,
                 const std::string& instance,
                 int seq,
                 int unix_ms,
                 const std::string& more) {
  return "12.5 host {\"event\":\"" + event + "\",\"instance\":\"" + instance +
         "\",\"seq\":" + std::to_string(seq) +
         ",\"steady_us\":1,\"unix_ms\":" + std::to_string(unix_ms) + more +
         "}\n";
}

TEST(Explain, ShowsEventsAndLastStateOfEachProcess) {
  std::istringstream log(
      "not a line of ours\n" + Line("started", "a", 1, 1000, "") +
      Line("view_changed", "a", 2, 1100, ",\"rules\":3") +
      Line("view_changed", "a", 3, 1900, ",\"rules\":4") +
      // The wall clock jumped back between the next two events.
      Line("attempt_failed", "a", 4, 2000,
           ",\"request\":\"x\",\"why\":\"broken\"") +
      Line("request_ended", "a", 6, 1500,
           ",\"request\":\"x\",\"outcome\":\"no_whole_answer\"") +
      Line("request_ended", "a", 5, 2000, ",\"request\":\"other\"") +
      Line("started", "b", 1, 500, "") +
      Line("request_ended", "b", 2, 1000,
           ",\"request\":\"x\",\"outcome\":\"no_place\""));
  Explanation explanation("x");
  explanation.Read(log);
  const auto timeline = explanation.Timeline();
  ASSERT_EQ(timeline.size(), 8U);
  EXPECT_TRUE(timeline[0].starts_with("b, at 1000"));
  EXPECT_NE(timeline[2].find("no_place"), std::string::npos);
  EXPECT_TRUE(timeline[3].starts_with("a, at 2000"));
  EXPECT_NE(timeline[5].find("rules=4"), std::string::npos);
  EXPECT_NE(timeline[6].find("why=\"broken\""), std::string::npos);
  EXPECT_NE(timeline[7].find("no_whole_answer"), std::string::npos);
}

TEST(Explain, IsEmptyForARequestInNoLog) {
  std::istringstream log(
      Line("started", "a", 1, 1, "") +
      Line("request_ended", "a", 2, 2, ",\"request\":\"y\""));
  Explanation explanation("x");
  explanation.Read(log);
  EXPECT_TRUE(explanation.Timeline().empty());
}

}  // namespace
}  // namespace peridotgate::operate
