#include "bench/policy/fake_engine.h"

#include <algorithm>

namespace peridotgate::bench {
namespace {

constexpr auto kPieceTokens =
    static_cast<std::int64_t>(routing::kTokensPerPiece);

}  // namespace

void FakeEngine::Submit(EngineJob job) {
  RunningJob it;
  it.job = std::move(job);
  it.job.output_tokens = std::max<std::int64_t>(1, it.job.output_tokens);
  jobs_.push_back(std::move(it));
}

bool FakeEngine::Cancel(std::size_t attempt) {
  return std::erase_if(jobs_, [&](const RunningJob& it) {
           return it.job.attempt == attempt;
         }) > 0;
}

std::vector<std::size_t> FakeEngine::Crash() {
  std::vector<std::size_t> lost;
  for (const RunningJob& it : jobs_) {
    lost.push_back(it.job.attempt);
  }
  jobs_.clear();
  lru_.clear();
  held_.clear();
  return lost;
}

FakeEngine::IterationPlan FakeEngine::PlanIteration() const {
  IterationPlan plan;
  for (const RunningJob& it : jobs_) {
    if (IsPrefilling(it)) {
      plan.prefill += it.job.prompt_tokens - it.prefilled;
    } else {
      ++plan.decoding;
    }
  }
  plan.prefill = std::min(plan.prefill, speed_.chunk_tokens);
  return plan;
}

Duration FakeEngine::NextIterationTime(double slowdown) const {
  if (jobs_.empty()) {
    return Duration(0);
  }
  const IterationPlan plan = PlanIteration();
  const double engine_us =
      speed_.iteration_us +
      speed_.prefill_us_per_token * static_cast<double>(plan.prefill) +
      speed_.sequence_us * static_cast<double>(plan.decoding);
  return Duration(static_cast<std::int64_t>(engine_us * slowdown));
}

std::vector<FakeEngine::RunningJob*> FakeEngine::PrefillOrder() {
  std::vector<RunningJob*> order;
  for (RunningJob& it : jobs_) {
    if (IsPrefilling(it)) {
      order.push_back(&it);
    }
  }
  std::stable_sort(order.begin(), order.end(),
                   [](const RunningJob* a, const RunningJob* b) {
                     return a->job.priority < b->job.priority;
                   });
  return order;
}

void FakeEngine::StartPrefill(RunningJob& it) {
  it.started = true;
  while (it.cached_pieces < it.job.chain.size()) {
    auto held = held_.find(it.job.chain[it.cached_pieces]);
    if (held == held_.end()) {
      break;
    }
    lru_.splice(lru_.begin(), lru_, held->second);
    ++it.cached_pieces;
  }
  // The last prompt token is always computed, even if all are cached.
  it.prefilled =
      std::min(static_cast<std::int64_t>(it.cached_pieces) * kPieceTokens,
               it.job.prompt_tokens - 1);
}

void FakeEngine::Store(routing::PrefixKey key, Iteration& out) {
  auto held = held_.find(key);
  if (held != held_.end()) {
    lru_.splice(lru_.begin(), lru_, held->second);
    return;
  }
  lru_.push_front(key);
  held_[key] = lru_.begin();
  out.blocks.push_back({key, true});
  if (held_.size() > speed_.blocks) {
    const routing::PrefixKey last = lru_.back();
    lru_.pop_back();
    held_.erase(last);
    out.blocks.push_back({last, false});
  }
}

void FakeEngine::ComputePrefill(RunningJob& it,
                                std::int64_t tokens,
                                Iteration& out) {
  const std::int64_t before = it.prefilled / kPieceTokens;
  it.prefilled += tokens;
  const std::int64_t after = it.prefilled / kPieceTokens;
  for (std::int64_t i = before; i < after; ++i) {
    if (static_cast<std::size_t>(i) < it.job.chain.size()) {
      Store(it.job.chain[static_cast<std::size_t>(i)], out);
    }
  }
  out.progress.push_back(
      {it.job.attempt, it.job.organisation, tokens,
       static_cast<double>(tokens) * speed_.prefill_us_per_token});
}

Iteration FakeEngine::RunIteration() {
  Iteration out;
  std::int64_t room = speed_.chunk_tokens;
  for (RunningJob& it : jobs_) {
    if (!IsPrefilling(it)) {
      ++it.produced;
      out.output.push_back(it.job.attempt);
      out.progress.push_back(
          {it.job.attempt, it.job.organisation, 1, speed_.sequence_us});
    }
  }
  for (RunningJob* it : PrefillOrder()) {
    if (room == 0) {
      break;
    }
    if (!it->started) {
      StartPrefill(*it);
    }
    const std::int64_t n =
        std::min(room, it->job.prompt_tokens - it->prefilled);
    ComputePrefill(*it, n, out);
    room -= n;
    if (!IsPrefilling(*it)) {
      it->produced = 1;
      out.first_tokens.push_back({it->job.attempt, it->cached_pieces});
      out.output.push_back(it->job.attempt);
    }
  }
  for (JobProgress& it : out.progress) {
    it.engine_us +=
        speed_.iteration_us / static_cast<double>(out.progress.size());
  }
  std::erase_if(jobs_, [&](const RunningJob& it) {
    const bool done = it.produced >= it.job.output_tokens;
    if (done) {
      out.finished.push_back(it.job.attempt);
    }
    return done;
  });
  return out;
}

}  // namespace peridotgate::bench
