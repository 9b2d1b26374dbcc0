// Runs the scenarios under every policy and prints the results as JSON lines.
#include <cstdio>
#include <string>
#include <vector>

#include <spdlog/fmt/fmt.h>
#include <CLI/CLI.hpp>

#include "bench/policy/cold_spread.h"
#include "bench/policy/decision_cost.h"
#include "bench/policy/targets.h"

namespace peridotgate::bench {
namespace {

std::string Summary(const ScenarioRuns& runs, std::size_t index) {
  const RunResult& run = runs.runs[index];
  const RequestStats all =
      ComputeStats(run, ModelRequestsAfterWarmUp(runs.scenario));
  std::string targets;
  for (const TargetResult& it : EvaluateTargets(runs, index)) {
    targets +=
        fmt::format(R"({}{{"name":"{}","value":{:.3f},"{}":{:.3f},"met":{}}})",
                    targets.empty() ? "" : ",", it.name, it.value,
                    it.at_least ? "at_least" : "at_most", it.bound, it.met());
  }
  return fmt::format(
      R"({{"summary":"{}","policy":"{}","seed":{},"requests":{},"served":{},)"
      R"("refused":{},"late":{},"hit_rate":{:.3f},"pooled_hit_rate":{:.3f},)"
      R"("first_token_ms":{{"p50":{:.1f},"p95":{:.1f},"p99":{:.1f},)"
      R"("p999":{:.1f}}},"recomputed_tokens":{},"goodput_tokens":{:.0f},)"
      R"("extra_work":{:.4f},"second_attempts":{},"probes":{},)"
      R"("targets":[{}]}})",
      runs.scenario.name, AllPolicies()[index].name, runs.seed, all.requests,
      all.served, all.refused, all.late, all.hit_rate(),
      PooledHitRate(run, runs.scenario), all.quantile_ms(0.5),
      all.quantile_ms(0.95), all.quantile_ms(0.99), all.quantile_ms(0.999),
      all.recomputed_tokens, all.goodput_tokens,
      run.unused_engine_us / std::max(1.0, run.engine_us), run.second_attempts,
      run.probes, targets);
}

void Print(const std::string& scenario, std::uint64_t seed, bool details) {
  const ScenarioRuns runs = RunAll(scenario, seed);
  for (std::size_t i = 0; i < runs.runs.size(); ++i) {
    if (details) {
      for (const std::string& it :
           DetailLines(runs.runs[i], runs.scenario, AllPolicies()[i].name)) {
        std::puts(it.c_str());
      }
    }
    std::puts(Summary(runs, i).c_str());
    std::fflush(stdout);
  }
}

int Main(int argc, char** argv) {
  CLI::App app(
      "Compares routing and scheduling policies in simulated scenarios");
  std::uint64_t seed = 1;
  bool summary_only = false;
  std::vector<std::string> scenarios;
  app.add_option("--seed", seed, "seed of arrivals and faults");
  app.add_flag("--summary", summary_only,
               "omit the lines for each organisation and kind");
  app.add_option("scenario", scenarios, "scenarios to run; all by default");
  CLI11_PARSE(app, argc, argv);
  if (scenarios.empty()) {
    scenarios = ScenarioNames();
  }
  for (const std::string& it : scenarios) {
    if (it == "cold-prefixes") {
      PrintColdSpread(seed);
      continue;
    }
    if (it == "decision-cost") {
      PrintDecisionCost(seed);
      continue;
    }
    const auto& known = ScenarioNames();
    if (std::find(known.begin(), known.end(), it) == known.end()) {
      std::fprintf(stderr, "unknown scenario: %s\n", it.c_str());
      return 2;
    }
    Print(it, seed, !summary_only);
  }
  return 0;
}

}  // namespace
}  // namespace peridotgate::bench

int main(int argc, char** argv) {
  return peridotgate::bench::Main(argc, argv);
}
