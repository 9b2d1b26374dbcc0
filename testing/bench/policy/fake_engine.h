// A fake model engine for the policy bench with continuous batching, an LRU
// cache of prefix blocks and priorities. Advances one iteration at a time.
#ifndef TESTING_BENCH_POLICY_FAKE_ENGINE_H_
#define TESTING_BENCH_POLICY_FAKE_ENGINE_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <list>
#include <unordered_map>
#include <vector>

#include "coordination/clock.h"
#include "routing/prefix_keys.h"

namespace peridotgate::bench {

using coordination::Duration;
using coordination::TimePoint;

/** A call submitted to the engine. */
struct EngineJob {
  std::size_t attempt = 0;  // Index of the attempt in the simulation.
  std::size_t organisation = 0;
  std::vector<routing::PrefixKey> chain;
  std::int64_t prompt_tokens = 0;
  std::int64_t output_tokens = 0;
  std::int32_t priority = 0;  // Lower values run first.
};

/** A block stored in the cache or evicted from it. */
struct BlockChange {
  routing::PrefixKey key = 0;
  bool stored = false;
};

/** An attempt whose prefill finished and how much of it was cached. */
struct FirstToken {
  std::size_t attempt = 0;
  std::size_t cached_pieces = 0;
};

/** Work done for one attempt in one iteration. */
struct JobProgress {
  std::size_t attempt = 0;
  std::size_t organisation = 0;
  std::int64_t tokens = 0;
  double engine_us = 0;  // Its part of the engine time, at normal speed.
};

/** Results of one iteration. */
struct Iteration {
  std::vector<FirstToken> first_tokens;
  std::vector<JobProgress> progress;
  std::vector<std::size_t> output;  // Attempts that produced a token.
  std::vector<std::size_t> finished;
  std::vector<BlockChange> blocks;
};

/** Speed and cache size of a fake engine. */
struct EngineSpeed {
  std::int64_t chunk_tokens = 512;
  double prefill_us_per_token = 25;
  double iteration_us = 6000;
  double sequence_us = 250;
  std::size_t blocks = 40;
};

class FakeEngine {
 public:
  explicit FakeEngine(EngineSpeed speed) : speed_(speed) {}

  /** Queues a call; cached blocks are looked up when its prefill starts. */
  void Submit(EngineJob job);

  /** Stops a call. False when the engine has no such call. */
  bool Cancel(std::size_t attempt);

  /** Duration of the next iteration; zero when idle. */
  Duration NextIterationTime(double slowdown) const;

  /** Runs one iteration. */
  Iteration RunIteration();

  /** Drops all calls and the cache; returns the lost attempts. */
  std::vector<std::size_t> Crash();

  bool idle() const { return jobs_.empty(); }
  bool Holds(routing::PrefixKey key) const { return held_.contains(key); }

 private:
  struct RunningJob {
    EngineJob job;
    bool started = false;
    std::size_t cached_pieces = 0;
    std::int64_t prefilled = 0;
    std::int64_t produced = 0;
  };
  struct IterationPlan {
    std::int64_t prefill = 0;
    std::size_t decoding = 0;
  };

  bool IsPrefilling(const RunningJob& it) const {
    return it.prefilled < it.job.prompt_tokens;
  }
  IterationPlan PlanIteration() const;
  std::vector<RunningJob*> PrefillOrder();
  void StartPrefill(RunningJob& it);
  void ComputePrefill(RunningJob& it, std::int64_t tokens, Iteration& out);
  void Store(routing::PrefixKey key, Iteration& out);

  EngineSpeed speed_;
  std::vector<RunningJob> jobs_;
  std::list<routing::PrefixKey> lru_;
  std::unordered_map<routing::PrefixKey,
                     std::list<routing::PrefixKey>::iterator>
      held_;
};

}  // namespace peridotgate::bench

#endif  // TESTING_BENCH_POLICY_FAKE_ENGINE_H_
