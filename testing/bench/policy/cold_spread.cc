#include "bench/policy/cold_spread.h"

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <random>
#include <vector>

#include <spdlog/fmt/fmt.h>

#include "bench/policy/simulation.h"

namespace peridotgate::bench {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t kModelServers = 9;
constexpr std::size_t kCalls = 270;
constexpr std::size_t kPieces = 3;
// Longer than a call, so that all engines are idle at each arrival.
constexpr milliseconds kBetweenCalls{1000};

Scenario ColdPrefixes(std::uint64_t seed) {
  Scenario scenario;
  scenario.name = "cold-prefixes";
  scenario.organisations = {"brazos"};
  scenario.shares = {1};
  scenario.length = kBetweenCalls * kCalls;
  std::mt19937_64 random(seed);
  for (std::size_t i = 0; i < kCalls; ++i) {
    Arrival it;
    it.at = kBetweenCalls * i;
    it.kind = "quote";
    for (std::size_t piece = 0; piece < kPieces; ++piece) {
      it.chain.push_back(random());
    }
    it.prompt_tokens =
        static_cast<std::int64_t>(kPieces * routing::kTokensPerPiece) + 200;
    it.output_tokens = it.expected_output_tokens = 16;
    it.wait_limit = seconds(2);
    scenario.arrivals.push_back(std::move(it));
  }
  return scenario;
}

}  // namespace

void PrintColdSpread(std::uint64_t seed) {
  const Scenario scenario = ColdPrefixes(seed);
  for (const PolicyParts& it : AllPolicies()) {
    const RunResult run = Run(scenario, it, seed);
    std::vector<std::size_t> calls(kModelServers);
    for (const RequestResult& request : run.requests) {
      ++calls[request.server];
    }
    const auto max_calls = static_cast<double>(std::ranges::max(calls));
    std::puts(fmt::format(R"({{"summary":"cold-prefixes","policy":"{}",)"
                          R"("seed":{},"calls_by_engine":[{}],)"
                          R"("most_over_even_part":{:.3f}}})",
                          it.name, seed, fmt::join(calls, ","),
                          max_calls * kModelServers / kCalls)
                  .c_str());
  }
}

}  // namespace peridotgate::bench
