// Explores all interleavings of two contenders for a lease, up to a depth, with
// lost responses, late writes, pauses and crashes; also tests single faults.
#include "coordination/lease.h"

#include <cstdio>
#include <set>
#include <string>
#include <vector>

#include <gtest/gtest.h>

#include "coordination/fencing.h"

namespace peridotgate::coordination {
namespace {

constexpr Duration kUnit = std::chrono::seconds(1);
constexpr std::int64_t kStoreStart = 86400000;

LeaseOptions TestOptions(bool enforce_expiry = true) {
  LeaseOptions options;
  options.length = 4 * kUnit;
  options.margin = kUnit;
  options.renewal = 2 * kUnit;
  options.read_period = kUnit;
  options.enforce_expiry = enforce_expiry;
  return options;
}

// The lease's row, and delayed writes to it.
struct Row {
  std::optional<LeaseRecord> record;
  std::vector<LeaseRecord> late;

  bool Write(const LeaseRecord& it) {
    if ((record ? record->revision : 0) + 1 != it.revision) {
      return false;
    }
    record = it;
    return true;
  }
};

enum class Move {
  kStep,        // Its next action succeeds.
  kLoseAnswer,  // A write succeeds, but its response is lost.
  kLoseWrite,   // A write is lost.
  kDelayWrite,  // A write arrives later; its result is unknown.
  kCrash,       // It restarts with no state.
};

struct World {
  bool tells_time = false;  // Whether the store tells its time.
  std::vector<Lease> leases;
  Row row;
  TimePoint now{};
  std::uint64_t crashes = 0;
  std::int64_t max_token = 0;
  int last_holder = -1;
};

World Start(LeaseOptions options, bool tells_time) {
  World world;
  world.tells_time = tells_time;
  world.leases.emplace_back(options, Id128{1, 0});
  world.leases.emplace_back(options, Id128{2, 0});
  return world;
}

// The store's clock started long before the world's.
std::optional<StoreTime> TimeOf(const World& world) {
  if (!world.tells_time) {
    return std::nullopt;
  }
  return StoreTime{std::chrono::milliseconds(kStoreStart) +
                       std::chrono::duration_cast<std::chrono::milliseconds>(
                           world.now.time_since_epoch()),
                   world.now};
}

void Write(World& world, Lease& lease, Move move) {
  if (move == Move::kDelayWrite) {
    world.row.late.push_back(lease.to_write());
  }
  const bool sent = move == Move::kStep || move == Move::kLoseAnswer;
  const bool landed = sent && world.row.Write(lease.to_write());
  if (move != Move::kStep) {
    lease.OnWrite(LeaseWrite::kUnknown, world.now);
  } else {
    lease.OnWrite(landed ? LeaseWrite::kDone : LeaseWrite::kConflict, world.now,
                  TimeOf(world));
  }
}

// Returns false if the move is not applicable in this state.
bool Act(World& world, std::size_t actor, Move move, LeaseOptions options) {
  Lease& lease = world.leases[actor];
  if (move == Move::kCrash) {
    lease = Lease(options, Id128{actor + 1, ++world.crashes});
    return world.crashes <= 2;
  }
  const LeaseAction action = lease.Next(world.now);
  if (action == LeaseAction::kWrite) {
    Write(world, lease, move);
    return true;
  }
  if (action == LeaseAction::kRead && move == Move::kStep) {
    lease.OnRead(world.row.record, world.now, TimeOf(world));
    return true;
  }
  return false;
}

// Returns all successors of a world: moves of both actors, advances of time,
// and the arrival of a late write.
std::vector<World> Successors(const World& world, LeaseOptions options) {
  std::vector<World> next;
  for (std::size_t actor = 0; actor < 2; ++actor) {
    for (Move it : {Move::kStep, Move::kLoseAnswer, Move::kLoseWrite,
                    Move::kDelayWrite, Move::kCrash}) {
      World copy = world;
      if (copy.row.late.size() + (it == Move::kDelayWrite ? 1 : 0) <= 1 &&
          Act(copy, actor, it, options)) {
        next.push_back(std::move(copy));
      }
    }
  }
  // Time passes: one unit, or the whole length of the lease, so that an actor
  // that does not move next was paused past its expiry.
  for (int units : {1, 4}) {
    World later = world;
    later.now += units * kUnit;
    next.push_back(std::move(later));
  }
  if (!world.row.late.empty()) {
    World landed = world;
    landed.row.Write(landed.row.late.back());
    landed.row.late.pop_back();
    next.push_back(std::move(landed));
  }
  return next;
}

// Whether there is at most one holder, and each new one has a higher token.
bool HasSingleHolder(World& world) {
  int holders = 0;
  for (std::size_t i = 0; i < world.leases.size(); ++i) {
    auto token = world.leases[i].token(world.now);
    if (!token) {
      continue;
    }
    ++holders;
    const int holder = static_cast<int>(i);
    if (*token < world.max_token ||
        (*token == world.max_token && world.last_holder != holder)) {
      return false;
    }
    world.max_token = *token;
    world.last_holder = holder;
  }
  return holders <= 1;
}

struct Exploration {
  std::size_t worlds = 0;
  std::size_t holding = 0;
  std::size_t violations = 0;
};

Exploration Explore(LeaseOptions options, bool tells_time, int depth) {
  Exploration result;
  std::vector<World> layer{Start(options, tells_time)};
  for (int i = 0; i < depth && result.violations == 0; ++i) {
    std::vector<World> next;
    for (const World& it : layer) {
      for (World& successor : Successors(it, options)) {
        ++result.worlds;
        result.violations += HasSingleHolder(successor) ? 0 : 1;
        result.holding += successor.max_token > 0 ? 1 : 0;
        next.push_back(std::move(successor));
      }
    }
    layer = std::move(next);
  }
  return result;
}

TEST(Lease, NoInterleavingHasTwoHolders) {
  for (const bool tells_time : {false, true}) {
    SCOPED_TRACE(tells_time ? "the store tells its time"
                            : "the store tells no time");
    const Exploration result = Explore(TestOptions(), tells_time, 8);
    std::printf("lease: %zu worlds, %zu after a holder, %zu violations\n",
                result.worlds, result.holding, result.violations);
    EXPECT_EQ(result.violations, 0U);
    EXPECT_GT(result.holding, 1000U);
    SCOPED_TRACE("the exploration detects holders that act after expiry");
    EXPECT_GT(Explore(TestOptions(false), tells_time, 8).violations, 0U);
  }
}

// Makes `lease` acquire the lease.
void Acquire(Lease& lease, Row& row, TimePoint now) {
  ASSERT_EQ(lease.Next(now), LeaseAction::kRead);
  lease.OnRead(row.record, now);
  ASSERT_EQ(lease.Next(now), LeaseAction::kWrite);
  ASSERT_TRUE(row.Write(lease.to_write()));
  lease.OnWrite(LeaseWrite::kDone, now);
}

TEST(Lease, APausedHolderLosesItsToken) {
  Row row;
  TimePoint now{};
  Lease first(TestOptions(), Id128{1, 0});
  Lease second(TestOptions(), Id128{2, 0});
  Acquire(first, row, now);
  EXPECT_EQ(first.token(now), 1);
  {
    SCOPED_TRACE(
        "its lease expires by its own clock before a successor starts");
    second.Next(now);
    second.OnRead(row.record, now);
    now += 3 * kUnit;
    EXPECT_FALSE(first.token(now).has_value());
    EXPECT_NE(second.Next(now), LeaseAction::kWrite);
    second.OnRead(row.record, now);
  }
  {
    SCOPED_TRACE("the successor gets a higher token");
    now += kUnit;
    ASSERT_EQ(second.Next(now), LeaseAction::kWrite);
    ASSERT_TRUE(row.Write(second.to_write()));
    second.OnWrite(LeaseWrite::kDone, now);
    EXPECT_EQ(second.token(now), 2);
  }
  {
    SCOPED_TRACE("the first resumes and reads the row");
    EXPECT_EQ(first.Next(now), LeaseAction::kRead);
    first.OnRead(row.record, now);
    EXPECT_EQ(first.Next(now), LeaseAction::kNone);
    EXPECT_FALSE(first.token(now).has_value());
  }
}

TEST(Lease, ALostResponseIsResolvedByReadingTheRow) {
  Row row;
  const TimePoint now{};
  Lease lease(TestOptions(), Id128{1, 0});
  lease.Next(now);
  lease.OnRead(row.record, now);
  ASSERT_EQ(lease.Next(now), LeaseAction::kWrite);
  row.Write(lease.to_write());
  lease.OnWrite(LeaseWrite::kUnknown, now);
  EXPECT_FALSE(lease.token(now).has_value());
  ASSERT_EQ(lease.Next(now), LeaseAction::kRead);
  lease.OnRead(row.record, now);
  EXPECT_EQ(lease.token(now), 1);
}

TEST(Lease, AReleasedLeaseIsTakenOverAfterTheMargin) {
  Row row;
  TimePoint now{};
  Lease first(TestOptions(), Id128{1, 0});
  Lease second(TestOptions(), Id128{2, 0});
  {
    SCOPED_TRACE("the first acquires the lease, then releases it");
    first.Next(now);
    first.OnRead(row.record, now);
    ASSERT_EQ(first.Next(now), LeaseAction::kWrite);
    ASSERT_TRUE(row.Write(first.to_write()));
    first.OnWrite(LeaseWrite::kDone, now);
    const auto released = first.Release(now);
    ASSERT_TRUE(released);
    ASSERT_TRUE(row.Write(*released));
    EXPECT_FALSE(first.token(now).has_value());
    EXPECT_EQ(first.Next(now), LeaseAction::kNone);
    EXPECT_FALSE(first.Release(now));
  }
  {
    SCOPED_TRACE("the second waits for the margin instead of the length");
    ASSERT_EQ(second.Next(now), LeaseAction::kRead);
    second.OnRead(row.record, now);
    EXPECT_EQ(second.Next(now), LeaseAction::kNone);
    now += kUnit;
    ASSERT_EQ(second.Next(now), LeaseAction::kWrite);
    ASSERT_TRUE(row.Write(second.to_write()));
    second.OnWrite(LeaseWrite::kDone, now);
    EXPECT_EQ(second.token(now), 2);
  }
}

// A contender that reads a row for the first time, with the store's time.
class FirstRead {
 public:
  FirstRead(const Row& row, TimePoint now, std::chrono::milliseconds store_time)
      : lease_(TestOptions(), Id128{9, 9}) {
    lease_.Next(now);
    lease_.OnRead(row.record, now, StoreTime{store_time, now});
  }
  bool TakesOver(TimePoint now) {
    return lease_.Next(now) == LeaseAction::kWrite;
  }

 private:
  Lease lease_;
};

TEST(Lease, AProcessThatStartsDoesNotWaitForALeaseThatWasGivenUpBefore) {
  using std::chrono::milliseconds;
  constexpr milliseconds kStoreTime{5000};
  Row row;
  TimePoint now{};
  Lease first(TestOptions(), Id128{1, 0});
  {
    SCOPED_TRACE("the first acquires the lease; its call took a quarter unit");
    first.Next(now);
    first.OnRead(row.record, now, StoreTime{kStoreTime, now - kUnit / 4});
    ASSERT_EQ(first.Next(now), LeaseAction::kWrite);
    ASSERT_TRUE(row.Write(first.to_write()));
    first.OnWrite(LeaseWrite::kDone, now);
    EXPECT_EQ(row.record->stored, kStoreTime + milliseconds(251));
  }
  {
    SCOPED_TRACE("a holder that ended without a release, read later");
    EXPECT_FALSE(
        FirstRead(row, now, kStoreTime + milliseconds(4250)).TakesOver(now));
    EXPECT_TRUE(
        FirstRead(row, now, kStoreTime + milliseconds(4251)).TakesOver(now));
  }
  {
    SCOPED_TRACE("a store whose clock starts anew: the whole length counts");
    EXPECT_FALSE(FirstRead(row, now, milliseconds(1))
                     .TakesOver(now + 4 * kUnit - milliseconds(1)));
    EXPECT_TRUE(
        FirstRead(row, now, milliseconds(1)).TakesOver(now + 4 * kUnit));
  }
  {
    SCOPED_TRACE("the first releases it; the margin counts from then");
    now += kUnit;
    ASSERT_TRUE(row.Write(*first.Release(now)));
    EXPECT_EQ(row.record->stored, kStoreTime + milliseconds(1251));
    EXPECT_FALSE(
        FirstRead(row, now, kStoreTime + milliseconds(2250)).TakesOver(now));
    EXPECT_TRUE(
        FirstRead(row, now, kStoreTime + milliseconds(2251)).TakesOver(now));
  }
}

TEST(Lease, AReleaseLongAfterTheLastActionCountsFromThatAction) {
  using std::chrono::milliseconds;
  Row row;
  TimePoint now{};
  Lease first(TestOptions(), Id128{1, 0});
  first.Next(now);
  first.OnRead(row.record, now, StoreTime{milliseconds(1000), now});
  ASSERT_EQ(first.Next(now), LeaseAction::kWrite);
  ASSERT_TRUE(row.Write(first.to_write()));
  first.OnWrite(LeaseWrite::kDone, now);
  now += 100 * kUnit;
  ASSERT_TRUE(row.Write(*first.Release(now)));
  EXPECT_EQ(row.record->stored, milliseconds(4001));
}

TEST(FencingGate, RejectsOlderTokensAndAllBeforeTheFirstRead) {
  FencingGate gate;
  EXPECT_EQ(gate.Admit(5), FenceVerdict::kUnknown);
  gate.OnCurrentToken(5);
  EXPECT_EQ(gate.Admit(4), FenceVerdict::kStale);
  EXPECT_EQ(gate.Admit(6), FenceVerdict::kAccepted);
  EXPECT_EQ(gate.Admit(5), FenceVerdict::kStale);
}

}  // namespace
}  // namespace peridotgate::coordination
