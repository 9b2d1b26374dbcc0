// Explores all interleavings of two agents that claim the same key, with writes
// that get no reply (applied, not applied or applied later) and crashes. At
// most one attempt may run, and an attempt reported as not run must never run.
#include <array>
#include <map>
#include <optional>
#include <vector>

#include <gtest/gtest.h>

#include "claim_attempt.h"

namespace peridotgate::agent {
namespace {

using platform::Condition;
using platform::PlatformError;
using platform::Row;
using platform::RowWrite;

constexpr int kMaxFaults = 3;
constexpr int kMaxSteps = 14;
constexpr std::size_t kActors = 2;

// The table row of the key, with conditional writes.
struct FakeRow {
  std::optional<Row> row;

  bool Apply(const RowWrite& write) {
    const bool holds =
        write.condition == Condition::kAbsent
            ? !row.has_value()
            : row.has_value() && row->version == write.expected_version;
    if (holds) {
      row = write.row;
    }
    return holds;
  }
};

ClaimRequest MakeRequest(std::uint64_t token) {
  ClaimRequest request;
  request.id.request_id = {token, token};
  request.key = {"brazos", "order-placement", "key-1"};
  request.body_digest = "digest";
  request.attempt_token = {token, token};
  return request;
}

ClaimResult MakeRelease(std::uint64_t token) {
  ClaimResult result;
  result.key = MakeRequest(token).key;
  result.record.attempt_token = wire::ToWire({token, token});
  result.record.state = wire::ClaimState::kNotRun;
  return result;
}

// One agent: its attempt, then the release that it may need.
struct Actor {
  explicit Actor(std::uint64_t token)
      : token(token), attempt(MakeRequest(token), "agent") {}

  std::uint64_t token;
  ClaimAttempt attempt;
  std::optional<ClaimSettlement> release;
  bool release_read = false;
  bool crashed = false;
  std::vector<RowWrite> delayed_writes;  // Writes that may still be applied.

  bool may_run() const {
    return !attempt.wants_write() && !attempt.wants_read() &&
           attempt.answer().outcome == ClaimOutcome::kClaimed;
  }
  bool reports_not_run() const {
    return attempt.must_release() ||
           (!attempt.wants_write() && !attempt.wants_read() &&
            attempt.answer().outcome == ClaimOutcome::kPlatformDown);
  }
  bool settled() const {
    return !attempt.must_release() || (release && release->done());
  }
};

// Fault injected into one step of an actor.
enum class Fault {
  kNone,
  kLostBeforeWrite,
  kLostAfterWrite,
  kDelayedWrite,
  kUnavailable,
  kCrash
};

struct State {
  FakeRow stored_row;
  std::vector<Actor> actors{Actor(1), Actor(2)};
  int faults = 0;
  int steps = 0;
};

std::optional<PlatformError> Write(Actor& actor,
                                   FakeRow& stored_row,
                                   const RowWrite& write,
                                   Fault fault) {
  switch (fault) {
    case Fault::kLostBeforeWrite:
      return PlatformError::kUnknown;
    case Fault::kLostAfterWrite:
      stored_row.Apply(write);
      return PlatformError::kUnknown;
    case Fault::kDelayedWrite:
      actor.delayed_writes.push_back(write);
      return PlatformError::kUnknown;
    case Fault::kUnavailable:
      return PlatformError::kUnavailable;
    default:
      break;
  }
  if (stored_row.Apply(write)) {
    return std::nullopt;
  }
  return PlatformError::kConflict;
}

// Performs the actor's next step. Returns false if there is none.
bool Step(Actor& actor, FakeRow& stored_row, Fault fault) {
  const bool is_faulty = fault != Fault::kNone;
  if (actor.attempt.wants_write()) {
    const RowWrite write = actor.attempt.MakeWrite();
    actor.attempt.OnWritten(Write(actor, stored_row, write, fault));
    return true;
  }
  if (actor.attempt.wants_read()) {
    if (is_faulty) {
      actor.attempt.GiveUp();
    } else {
      actor.attempt.OnRow(stored_row.row);
    }
    return true;
  }
  if (!actor.attempt.must_release() || actor.settled()) {
    return false;
  }
  if (!actor.release) {
    actor.release.emplace(MakeRelease(actor.token));
  }
  if (!actor.release_read) {
    if (!is_faulty) {
      actor.release->OnRow(stored_row.row);
      actor.release_read = true;
    }
    return true;
  }
  const RowWrite write = actor.release->MakeWrite();
  actor.release->OnWritten(Write(actor, stored_row, write, fault));
  actor.release_read = false;
  return true;
}

class Explorer {
 public:
  void Explore(const State& state) {
    ++visited_;
    Check(state);
    if (state.steps == kMaxSteps) {
      return;
    }
    for (std::size_t i = 0; i < kActors; ++i) {
      ApplyDelayedWrite(state, i);
      StepWithEachFault(state, i);
    }
  }

  std::uint64_t visited() const { return visited_; }
  std::uint64_t not_run_reports() const { return not_run_reports_; }
  std::uint64_t reclaimed() const { return reclaimed_; }

 private:
  void ApplyDelayedWrite(const State& state, std::size_t index) {
    if (state.actors[index].delayed_writes.empty()) {
      return;
    }
    State next = state;
    Actor& actor = next.actors[index];
    next.stored_row.Apply(actor.delayed_writes.back());
    actor.delayed_writes.pop_back();
    ++next.steps;
    Explore(next);
  }

  void StepWithEachFault(const State& state, std::size_t index) {
    if (state.actors[index].crashed) {
      return;
    }
    for (Fault fault :
         {Fault::kNone, Fault::kLostBeforeWrite, Fault::kLostAfterWrite,
          Fault::kDelayedWrite, Fault::kUnavailable, Fault::kCrash}) {
      const bool has_fault = fault != Fault::kNone;
      if (has_fault && state.faults == kMaxFaults) {
        continue;
      }
      State next = state;
      next.faults += has_fault ? 1 : 0;
      ++next.steps;
      Actor& actor = next.actors[index];
      if (fault == Fault::kCrash) {
        actor.crashed = true;
        Explore(next);
      } else if (Step(actor, next.stored_row, fault)) {
        Explore(next);
      }
    }
  }

  void Check(const State& state) {
    std::size_t runs = 0;
    bool all_released = true;
    for (const Actor& it : state.actors) {
      runs += it.may_run() ? 1 : 0;
      ASSERT_FALSE(it.may_run() && it.reports_not_run());
      not_run_reports_ += it.reports_not_run() ? 1 : 0;
      all_released =
          all_released && it.reports_not_run() && it.settled() && !it.crashed;
    }
    ASSERT_LE(runs, 1U);
    if (all_released) {
      CheckReclaim(state);
    }
  }

  // After both attempts reported "not run" and released the claim, a third
  // attempt can claim the key, and delayed writes of the first two have no
  // effect.
  void CheckReclaim(State state) {
    Actor third(3);
    for (int i = 0; i < kMaxSteps && !third.may_run(); ++i) {
      Step(third, state.stored_row, Fault::kNone);
    }
    ASSERT_TRUE(third.may_run());
    const std::string body = state.stored_row.row->body;
    for (const Actor& it : state.actors) {
      for (const RowWrite& write : it.delayed_writes) {
        state.stored_row.Apply(write);
      }
    }
    ASSERT_EQ(state.stored_row.row->body, body);
    ++reclaimed_;
  }

  std::uint64_t visited_ = 0;
  std::uint64_t not_run_reports_ = 0;
  std::uint64_t reclaimed_ = 0;
};

TEST(ClaimInterleavings, AtMostOneAttemptMayRun) {
  Explorer explorer;
  explorer.Explore(State());
  if (testing::Test::HasFatalFailure()) {
    return;
  }
  SCOPED_TRACE("the exploration must reach the states of interest");
  EXPECT_GT(explorer.visited(), 1000U);
  EXPECT_GT(explorer.not_run_reports(), 0U);
  EXPECT_GT(explorer.reclaimed(), 0U);
  RecordProperty("worlds", std::to_string(explorer.visited()));
  std::printf("worlds visited: %llu, freed again: %llu\n",
              static_cast<unsigned long long>(explorer.visited()),
              static_cast<unsigned long long>(explorer.reclaimed()));
}

}  // namespace
}  // namespace peridotgate::agent
