// Explores all interleavings of two contenders for a lease, up to a depth,
// while the store that keeps its row is restored from backups.
#include <cstdio>
#include <optional>
#include <vector>

#include <gtest/gtest.h>

#include "coordination/lease.h"

namespace peridotgate::coordination {
namespace {

constexpr Duration kUnit = std::chrono::seconds(1);
constexpr int kMaxRestores = 2;
constexpr std::size_t kContenders = 2;

LeaseOptions TestOptions(bool heed_eras) {
  LeaseOptions options;
  options.length = 4 * kUnit;
  options.margin = kUnit;
  options.renewal = 2 * kUnit;
  options.read_period = kUnit;
  options.heed_eras = heed_eras;
  return options;
}

// The content of the store; number 0 of the row: there is none.
struct Content {
  std::optional<LeaseRecord> record;
  StoreVersion row;
  StoreVersion newest{1, 0};
};

struct LateWrite {
  LeaseRecord record;
  StoreVersion expected;
};

// One contender as its owner drives it.
struct Contender {
  Lease lease;
  StoreVersion row;      // As it read it last.
  std::int64_t era = 0;  // The newest that an answer told.
};

struct World {
  std::vector<Contender> contenders;
  Content store;
  Content backup;
  std::optional<LateWrite> late;
  TimePoint now{};
  int restores = 0;
  std::int64_t max_token = 0;
  std::size_t last_holder = kContenders;
};

enum class Move { kStep, kLoseAnswer, kDelayWrite };

bool Commit(Content& store, const LateWrite& write) {
  if (store.row.number != write.expected.number) {
    return false;
  }
  ++store.newest.number;
  store.record = write.record;
  store.row = store.newest;
  return true;
}

void Learn(Contender& it, std::int64_t era) {
  it.era = era;
  it.lease.OnEra(era);
}

void Read(World& world, Contender& it) {
  Learn(it, world.store.newest.era);
  it.row = world.store.row;
  it.lease.OnRead(world.store.record, world.now, std::nullopt, it.row);
}

void Write(World& world, Contender& it, Move move) {
  const LateWrite write{it.lease.to_write(), it.row};
  if (it.row.number != 0 && it.row.era != it.era) {
    it.lease.OnWrite(LeaseWrite::kConflict, world.now);
    return;
  }
  if (move == Move::kDelayWrite) {
    world.late = write;
    it.lease.OnWrite(LeaseWrite::kUnknown, world.now);
    return;
  }
  const bool done = Commit(world.store, write);
  if (move == Move::kLoseAnswer) {
    it.lease.OnWrite(LeaseWrite::kUnknown, world.now);
    return;
  }
  const bool restored = it.era != world.store.newest.era;
  Learn(it, world.store.newest.era);
  it.row = done ? world.store.row : it.row;
  const LeaseWrite result = restored ? LeaseWrite::kUnknown
                            : done   ? LeaseWrite::kDone
                                     : LeaseWrite::kConflict;
  it.lease.OnWrite(result, world.now, std::nullopt, it.row);
}

// Returns false if the move is not applicable in this state.
bool Act(World& world, std::size_t actor, Move move) {
  Contender& it = world.contenders[actor];
  switch (it.lease.Next(world.now)) {
    case LeaseAction::kNone:
      return false;
    case LeaseAction::kRead:
      if (move == Move::kStep) {
        Read(world, it);
      }
      return move == Move::kStep;
    case LeaseAction::kWrite:
      if (move == Move::kDelayWrite && world.late) {
        return false;
      }
      Write(world, it, move);
      return true;
  }
  return false;
}

World Later(World world, int units) {
  world.now += units * kUnit;
  return world;
}

World Restored(World world) {
  const std::int64_t era = world.store.newest.era + 1;
  world.store = world.backup;
  world.store.newest.era = era;
  world.store.row.era = era;
  ++world.restores;
  return world;
}

// The first contender holds the lease; the backup has the row that it acquired,
// or none.
World Start(LeaseOptions options, bool row_in_backup) {
  World world;
  for (std::uint64_t i = 0; i < kContenders; ++i) {
    world.contenders.push_back({Lease(options, Id128{i + 1, 0}), {}, 0});
  }
  Act(world, 0, Move::kStep);
  world.now += 4 * kUnit;
  Act(world, 0, Move::kStep);
  if (row_in_backup) {
    world.backup = world.store;
  }
  return world;
}

std::vector<World> Successors(const World& world) {
  std::vector<World> next{Later(world, 1), Later(world, 4)};
  for (std::size_t actor = 0; actor < kContenders; ++actor) {
    for (const Move it : {Move::kStep, Move::kLoseAnswer, Move::kDelayWrite}) {
      World copy = world;
      if (Act(copy, actor, it)) {
        next.push_back(std::move(copy));
      }
    }
  }
  if (world.late) {
    World landed = world;
    Commit(landed.store, *landed.late);
    landed.late.reset();
    next.push_back(std::move(landed));
  }
  if (world.restores < kMaxRestores) {
    next.push_back(Restored(world));
  }
  return next;
}

// Whether there is at most one holder, and each new one has a higher token.
bool HasSingleHolder(World& world) {
  int holders = 0;
  for (std::size_t i = 0; i < kContenders; ++i) {
    const auto token = world.contenders[i].lease.token(world.now);
    if (!token) {
      continue;
    }
    ++holders;
    if (*token < world.max_token ||
        (*token == world.max_token && world.last_holder != i)) {
      return false;
    }
    world.max_token = *token;
    world.last_holder = i;
  }
  return holders <= 1;
}

struct Exploration {
  std::size_t worlds = 0;
  std::size_t restored = 0;  // With a holder of a later era than the first.
  std::size_t violations = 0;
};

void Explore(World world, int depth, Exploration& result) {
  ++result.worlds;
  result.violations += HasSingleHolder(world) ? 0 : 1;
  result.restored +=
      world.max_token >= FencingToken({2, 0}) && world.restores > 0 ? 1 : 0;
  if (depth == 0 || result.violations > 0) {
    return;
  }
  for (World& it : Successors(world)) {
    Explore(std::move(it), depth - 1, result);
  }
}

TEST(Lease, NoInterleavingHasTwoHoldersAcrossRestores) {
  constexpr int kDepth = 9;
  for (const bool row_in_backup : {false, true}) {
    SCOPED_TRACE(row_in_backup ? "the backup has the holder's row"
                               : "the backup has no row");
    Exploration result;
    Explore(Start(TestOptions(true), row_in_backup), kDepth, result);
    std::printf(
        "lease: %zu worlds, %zu with a holder after a restore, "
        "%zu violations\n",
        result.worlds, result.restored, result.violations);
    EXPECT_EQ(result.violations, 0U);
    EXPECT_GT(result.restored, 100U);
    SCOPED_TRACE("the exploration refutes a lease that ignores eras");
    Exploration old_rule;
    Explore(Start(TestOptions(false), row_in_backup), kDepth, old_rule);
    EXPECT_GT(old_rule.violations, 0U);
  }
}

TEST(Lease, AHolderStopsWhenItLearnsOfARestore) {
  World world = Start(TestOptions(true), true);
  Lease& lease = world.contenders[0].lease;
  ASSERT_TRUE(lease.token(world.now));
  lease.OnEra(2);
  EXPECT_FALSE(lease.token(world.now));
  EXPECT_FALSE(lease.Release(world.now));
}

}  // namespace
}  // namespace peridotgate::coordination
