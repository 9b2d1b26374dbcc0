#include <gtest/gtest.h>

#include "../core_harness.h"

namespace peridotgate::agent {
namespace {

using std::chrono::milliseconds;

class LateStartTest : public testing::Test {
 protected:
  static wire::Dispatch Call(std::uint64_t request, std::int64_t tokens) {
    wire::Dispatch call = CoreHarness::MakeDispatch(request, true);
    call.prompt_tokens = tokens;
    return call;
  }

  // Starts a call whose prompt is so long that no other may be in prefill.
  void FillPrefillWindow() {
    wire::Dispatch call = Call(1, 4000);
    call.wait_limit_us = 100000000;
    agent_.core.OnDispatch(1, call);
    ASSERT_EQ(agent_.outputs.Calls().size(), 1U);
  }

  CoreHarness agent_;
};

TEST_F(LateStartTest, CallThatWouldAnswerTooLateIsRefused) {
  FillPrefillWindow();
  agent_.core.OnDispatch(1, Call(3, 6000));
  EXPECT_TRUE(agent_.outputs.All<wire::Refusal>().empty());
  {
    SCOPED_TRACE("the wait limit isn't over, but the prefill would exceed it");
    agent_.clock.Advance(milliseconds(990));
    agent_.FromBackend(1, BackendData{"data"});
    EXPECT_EQ(agent_.outputs.Calls().size(), 1U);
  }
  const auto refusals = agent_.outputs.All<wire::Refusal>();
  ASSERT_EQ(refusals.size(), 1U);
  EXPECT_EQ(refusals[0].outcome, wire::Outcome::kNotRun);
  EXPECT_EQ(refusals[0].reason, wire::Reason::kWaitLimit);
}

TEST_F(LateStartTest, CallThatExceedsItsWaitLimitIsRefused) {
  FillPrefillWindow();
  agent_.core.OnDispatch(1, Call(3, 400));
  agent_.clock.Advance(milliseconds(999));
  agent_.core.Tick();
  EXPECT_TRUE(agent_.outputs.All<wire::Refusal>().empty());
  agent_.clock.Advance(milliseconds(2));
  agent_.core.Tick();
  const auto refusals = agent_.outputs.All<wire::Refusal>();
  ASSERT_EQ(refusals.size(), 1U);
  EXPECT_EQ(refusals[0].outcome, wire::Outcome::kNotRun);
  EXPECT_EQ(refusals[0].reason, wire::Reason::kWaitLimit);
  EXPECT_EQ(agent_.outputs.Calls().size(), 1U);
}

}  // namespace
}  // namespace peridotgate::agent
