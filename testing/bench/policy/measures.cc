#include "bench/policy/measures.h"

#include <algorithm>
#include <cmath>
#include <numeric>
#include <set>

#include <spdlog/fmt/fmt.h>

#include "bench/policy/fake_engine.h"

namespace peridotgate::bench {
namespace {

constexpr std::size_t kModelServers = 9;
constexpr std::size_t kSamplesPerWindow = 100;
// An organisation counts as backlogged in a window if it has queued calls in at
// least this fraction of the samples.
constexpr double kBackloggedFraction = 0.98;

double Milliseconds(Duration time) {
  return static_cast<double>(time.count()) / 1000;
}

double TotalTokens(const Arrival& it) {
  return static_cast<double>(it.prompt_tokens + it.output_tokens);
}

// One cache with the memory of all model servers.
class PooledCache {
 public:
  PooledCache() : engine_(Speed()) {}

  // Returns the number of cached pieces of a call, then caches all of them.
  std::int64_t LookUpAndStore(const Arrival& it) {
    engine_.Submit({0, 0, it.chain, it.prompt_tokens, 1, 0});
    return static_cast<std::int64_t>(
        engine_.RunIteration().first_tokens.front().cached_pieces);
  }

 private:
  static EngineSpeed Speed() {
    EngineSpeed speed;
    speed.blocks *= kModelServers;
    speed.chunk_tokens = 1000000;
    return speed;
  }

  FakeEngine engine_;
};

// Engine time of a call in a full batch.
double EngineCostUs(const Arrival& it, std::int64_t cached_pieces) {
  constexpr double kBatch = 16;
  const EngineSpeed speed;
  const auto prefill = static_cast<double>(
      it.prompt_tokens -
      cached_pieces * static_cast<std::int64_t>(routing::kTokensPerPiece));
  return prefill * speed.prefill_us_per_token +
         static_cast<double>(it.output_tokens) *
             (speed.iteration_us / kBatch + speed.sequence_us);
}

bool StartedInTime(const RequestResult& it) {
  return it.served && *it.dispatch_delay <= it.arrival.wait_limit;
}

void AddRequest(RequestStats& out, const RequestResult& it) {
  ++out.requests;
  out.served += it.served ? 1 : 0;
  out.refused += it.refused ? 1 : 0;
  out.attempts += it.attempts;
  if (!it.served) {
    return;
  }
  out.late += StartedInTime(it) ? 0 : 1;
  out.late_first_token += *it.first_token > it.arrival.wait_limit ? 1 : 0;
  out.goodput_tokens += StartedInTime(it) ? TotalTokens(it.arrival) : 0;
  out.pieces += static_cast<std::int64_t>(it.arrival.chain.size());
  out.held_pieces += it.held_pieces;
  out.recomputed_tokens += it.recomputed_pieces *
                           static_cast<std::int64_t>(routing::kTokensPerPiece);
  out.first_token_ms.push_back(Milliseconds(*it.first_token));
}

// Service and backlog of each organisation over consecutive samples.
struct Window {
  std::vector<double> engine_us;
  std::vector<bool> backlogged;
};

Window WindowAt(const RunResult& run, std::size_t from, std::size_t n) {
  Window window;
  window.engine_us.resize(n);
  std::vector<std::size_t> waiting(n);
  for (std::size_t i = from; i < from + kSamplesPerWindow; ++i) {
    const ServiceSample& it = run.service[i];
    for (std::size_t j = 0; j < n; ++j) {
      window.engine_us[j] += it.engine_us[j];
      waiting[j] += it.backlogged[j] ? 1 : 0;
    }
  }
  for (std::size_t it : waiting) {
    window.backlogged.push_back(static_cast<double>(it) >=
                                kBackloggedFraction * kSamplesPerWindow);
  }
  return window;
}

// The fair share of a backlogged organisation is its weighted part of the
// service that all backlogged ones received.
double MinFairShareRatioIn(const Window& window,
                           const std::vector<double>& shares) {
  double backlogged_us = 0;
  double weights = 0;
  for (std::size_t i = 0; i < shares.size(); ++i) {
    if (window.backlogged[i]) {
      backlogged_us += window.engine_us[i];
      weights += shares[i];
    }
  }
  double min_ratio = 1;
  for (std::size_t i = 0; i < shares.size(); ++i) {
    if (window.backlogged[i] && backlogged_us > 0) {
      const double fair_share = backlogged_us * shares[i] / weights;
      min_ratio = std::min(min_ratio, window.engine_us[i] / fair_share);
    }
  }
  return min_ratio;
}

}  // namespace

double RequestStats::hit_rate() const {
  return pieces == 0
             ? 0
             : static_cast<double>(held_pieces) / static_cast<double>(pieces);
}

double RequestStats::mean_ms() const {
  if (first_token_ms.empty()) {
    return 0;
  }
  return std::accumulate(first_token_ms.begin(), first_token_ms.end(), 0.0) /
         static_cast<double>(first_token_ms.size());
}

double RequestStats::quantile_ms(double q) const {
  if (first_token_ms.empty()) {
    return 0;
  }
  const auto last = static_cast<double>(first_token_ms.size() - 1);
  return first_token_ms[static_cast<std::size_t>(std::ceil(q * last))];
}

RequestStats ComputeStats(const RunResult& run, const RequestFilter& filter) {
  RequestStats out;
  for (const RequestResult& it : run.requests) {
    if (filter(it)) {
      AddRequest(out, it);
    }
  }
  std::sort(out.first_token_ms.begin(), out.first_token_ms.end());
  return out;
}

RequestFilter ModelRequestsAfterWarmUp(const Scenario& scenario) {
  return [from = scenario.warm_up](const RequestResult& it) {
    return it.arrival.target == Target::kModel && it.arrival.at >= from;
  };
}

double PooledHitRate(const RunResult& run, const Scenario& scenario) {
  PooledCache pooled;
  std::int64_t pieces = 0;
  std::int64_t held = 0;
  const RequestFilter measured = ModelRequestsAfterWarmUp(scenario);
  for (const RequestResult& it : run.requests) {
    if (it.arrival.target != Target::kModel || !it.served) {
      continue;
    }
    const std::int64_t cached_pieces = pooled.LookUpAndStore(it.arrival);
    if (measured(it)) {
      pieces += static_cast<std::int64_t>(it.arrival.chain.size());
      held += cached_pieces;
    }
  }
  return pieces == 0 ? 0
                     : static_cast<double>(held) / static_cast<double>(pieces);
}

double EngineGoodput(const RunResult& run, Duration from, Duration to) {
  PooledCache pooled;
  double engine_us = 0;
  for (const RequestResult& it : run.requests) {
    if (it.arrival.target != Target::kModel || !it.served) {
      continue;
    }
    const std::int64_t cached_pieces = pooled.LookUpAndStore(it.arrival);
    if (it.finished >= from && it.finished < to && StartedInTime(it)) {
      engine_us += EngineCostUs(it.arrival, cached_pieces);
    }
  }
  return engine_us / 1e6 / std::chrono::duration<double>(to - from).count();
}

double MinFairShareRatio(const RunResult& run, const Scenario& scenario) {
  const auto first =
      static_cast<std::size_t>(scenario.warm_up / kServiceSample);
  double min_ratio = 1;
  for (std::size_t i = first; i + kSamplesPerWindow <= run.service.size();
       i += 10) {
    const Window window = WindowAt(run, i, scenario.shares.size());
    min_ratio =
        std::min(min_ratio, MinFairShareRatioIn(window, scenario.shares));
  }
  return min_ratio;
}

double ServiceOverShare(const RunResult& run,
                        const Scenario& scenario,
                        std::size_t organisation) {
  double all = 0;
  double own = 0;
  for (const ServiceSample& it : run.service) {
    all += std::accumulate(it.engine_us.begin(), it.engine_us.end(), 0.0);
    own += it.engine_us[organisation];
  }
  const double shares =
      std::accumulate(scenario.shares.begin(), scenario.shares.end(), 0.0);
  return all == 0 ? 0 : own / all / (scenario.shares[organisation] / shares);
}

std::vector<std::string> DetailLines(const RunResult& run,
                                     const Scenario& scenario,
                                     const std::string& policy) {
  std::set<std::string> kinds;
  for (const RequestResult& it : run.requests) {
    kinds.insert(it.arrival.kind);
  }
  std::vector<std::string> lines;
  for (std::size_t i = 0; i < scenario.organisations.size(); ++i) {
    for (const std::string& kind : kinds) {
      const RequestStats it =
          ComputeStats(run, [&](const RequestResult& request) {
            return request.arrival.organisation == i &&
                   request.arrival.kind == kind &&
                   request.arrival.at >= scenario.warm_up;
          });
      if (it.requests == 0) {
        continue;
      }
      lines.push_back(fmt::format(
          R"({{"scenario":"{}","policy":"{}","organisation":"{}","kind":"{}",)"
          R"("requests":{},"served":{},"refused":{},"late":{},)"
          R"("late_first_token":{},"attempts":{},"hit_rate":{:.3f},)"
          R"("first_token_ms":{{"p50":{:.1f},"p95":{:.1f},"p99":{:.1f},)"
          R"("p999":{:.1f}}},"recomputed_tokens":{},"goodput_tokens":{:.0f},)"
          R"("service_over_share":{:.3f}}})",
          scenario.name, policy, scenario.organisations[i], kind, it.requests,
          it.served, it.refused, it.late, it.late_first_token, it.attempts,
          it.hit_rate(), it.quantile_ms(0.5), it.quantile_ms(0.95),
          it.quantile_ms(0.99), it.quantile_ms(0.999), it.recomputed_tokens,
          it.goodput_tokens, ServiceOverShare(run, scenario, i)));
    }
  }
  return lines;
}

}  // namespace peridotgate::bench
