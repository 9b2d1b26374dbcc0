#include "decision_log.h"

#include <string>

#include <gtest/gtest.h>

namespace peridotgate::entry {
namespace {

DecisionRecord MakeRecord(std::uint64_t id) {
  DecisionRecord record;
  record.request_id = {id, id};
  record.target = "model:horn-1";
  record.chosen = "engine-" + std::to_string(id);
  record.reason = routing::ChoiceReason::kWait;
  record.considered.push_back({"engine-1", {}, {}});
  return record;
}

TEST(DecisionLog, KeepsRecentAndSampledDecisions) {
  DecisionLog log;
  for (std::uint64_t i = 1; i <= 3000; ++i) {
    log.Add(MakeRecord(i));
  }
  {
    SCOPED_TRACE("a recent decision is kept with its candidates");
    const std::string text = log.Explain({3000, 3000});
    EXPECT_NE(text.find("engine-3000 (wait)"), std::string::npos);
    EXPECT_NE(text.find("engine-1: predicted"), std::string::npos);
  }
  {
    SCOPED_TRACE("an old decision is dropped, unless it was sampled");
    EXPECT_EQ(log.Explain({2, 2}), "");
    EXPECT_NE(log.Samples().find("engine-1001 "), std::string::npos);
  }
}

}  // namespace
}  // namespace peridotgate::entry
