// A part of a prompt that crashes each server that runs a request with it must
// not take one server after the other.
#include <memory>
#include <string>
#include <vector>

#include <gtest/gtest.h>

#include "../core_harness.h"
#include "coordination/crash_attribution.h"

namespace peridotgate::agent {
namespace {

using std::chrono::milliseconds;

constexpr std::int64_t kShared = 1;
constexpr std::int64_t kDeadly = 2;
constexpr std::int64_t kOther = 3;

// Agents that know of each other's crashes, each beside a server of its own.
class DeadlyPart : public testing::Test {
 protected:
  DeadlyPart() {
    for (int i = 0; i < 12; ++i) {
      AgentLimits limits;
      limits.instance = "agent-" + std::to_string(i);
      agents_.push_back(std::make_unique<CoreHarness>(limits));
      agents_.back()->core.FollowCrashes(crashes_);
    }
  }

  CoreHarness& agent(std::size_t i) { return *agents_[i]; }

  void Wait(milliseconds time) {
    for (const auto& it : agents_) {
      it->clock.Advance(time);
    }
  }

  // Dispatches a request with these parts; returns whether its server got it.
  bool Dispatch(std::size_t i,
                std::vector<std::int64_t> parts,
                std::int64_t resume_position = 0) {
    wire::Dispatch dispatch = CoreHarness::MakeDispatch(++request_, true);
    dispatch.part_keys = std::move(parts);
    dispatch.resume_position = resume_position;
    const std::size_t before = agent(i).outputs.Calls().size();
    agent(i).core.OnDispatch(kLink, dispatch);
    return agent(i).outputs.Calls().size() > before;
  }

  void Crash(std::size_t i) {
    agent(i).FromBackend(request_, BackendFailure{true, "broken", true});
  }

  void Serve(std::size_t i) {
    ASSERT_TRUE(Dispatch(i, {kShared, kOther}));
    agent(i).FromBackend(request_, BackendHead{200, "text/event-stream"});
    agent(i).FromBackend(request_, BackendEnd{});
  }

  // Sends deadly requests among sound ones; returns the number of crashes.
  std::size_t CrashUntilRefused() {
    std::size_t n = 0;
    while (n < agents_.size() && Dispatch(n, {kShared, kDeadly})) {
      Crash(n++);
      Wait(milliseconds(200));
      Serve(agents_.size() - 1);
      Wait(milliseconds(400));
    }
    return n;
  }

  coordination::CrashAttribution crashes_;
  std::vector<std::unique_ptr<CoreHarness>> agents_;
  std::uint64_t request_ = 100;
};

TEST_F(DeadlyPart, DoesNotCrashOneServerAfterTheOther) {
  EXPECT_LE(CrashUntilRefused(), 5U);
  {
    SCOPED_TRACE("the refusal is true, final and says when to come back");
    const auto refusals = agent(7).outputs.All<wire::Refusal>();
    EXPECT_FALSE(Dispatch(7, {kShared, kDeadly}));
    const auto refused = agent(7).outputs.All<wire::Refusal>();
    ASSERT_EQ(refused.size(), refusals.size() + 1);
    EXPECT_EQ(refused.back().outcome, wire::Outcome::kNotRun);
    EXPECT_EQ(refused.back().reason, wire::Reason::kQuarantinedPart);
    EXPECT_GT(refused.back().retry_after_ms, 1000);
  }
  {
    SCOPED_TRACE("a resumed stream is refused too");
    EXPECT_FALSE(Dispatch(8, {kShared, kDeadly}, 3));
  }
  {
    SCOPED_TRACE("sound requests with the same first part are served");
    for (std::size_t i = 0; i < agents_.size(); ++i) {
      EXPECT_TRUE(Dispatch(i, {kShared, kOther})) << i;
    }
  }
}

TEST_F(DeadlyPart, DoesNotReachAServerFromItsQueue) {
  AgentLimits limits;
  limits.slots = 1;
  limits.instance = "narrow";
  CoreHarness narrow(limits);
  narrow.core.FollowCrashes(crashes_);
  wire::Dispatch running = CoreHarness::MakeDispatch(1, true);
  narrow.core.OnDispatch(kLink, running);
  wire::Dispatch waiting = CoreHarness::MakeDispatch(2, true);
  waiting.part_keys = {kShared, kDeadly};
  waiting.wait_limit_us = 60000000;
  narrow.core.OnDispatch(kLink, waiting);
  ASSERT_EQ(narrow.outputs.Calls().size(), 1U);
  const coordination::TimePoint start = agent(0).clock.Now();
  CrashUntilRefused();
  narrow.clock.Advance(
      std::chrono::duration_cast<milliseconds>(agent(0).clock.Now() - start));
  narrow.FromBackend(1, BackendHead{200, "text/event-stream"});
  narrow.FromBackend(1, BackendEnd{});
  EXPECT_EQ(narrow.outputs.Calls().size(), 1U);
  ASSERT_EQ(narrow.outputs.All<wire::Refusal>().size(), 1U);
  EXPECT_EQ(narrow.outputs.All<wire::Refusal>()[0].reason,
            wire::Reason::kQuarantinedPart);
}

TEST_F(DeadlyPart, BrokenCallsOfLivingServersBlameNoPart) {
  for (std::size_t i = 0; i < agents_.size(); ++i) {
    ASSERT_TRUE(Dispatch(i, {kShared, kOther})) << i;
    agent(i).FromBackend(request_, BackendFailure{true, "broken", false});
    Wait(milliseconds(400));
  }
  EXPECT_TRUE(Dispatch(0, {kShared, kOther}));
}

}  // namespace
}  // namespace peridotgate::agent
