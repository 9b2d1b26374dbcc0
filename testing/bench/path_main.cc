// Measures streams sent directly to the engines and through entry and agent,
// alternating in one run. Prints both and the added latency as JSON lines.
#include <cstdio>

#include <CLI/CLI.hpp>
#include <boost/json.hpp>

#include "bench/path_load.h"
#include "bench/slopes_meter.h"

namespace peridotgate::bench {
namespace {

namespace json = boost::json;

constexpr double kMedian = 0.5;
constexpr double kP99 = 0.99;
constexpr double kMicrosPerSecond = 1e6;
// With few streams the answers are shorter, so that there are enough of them.
constexpr std::size_t kShortAnswerStreams = 10;
constexpr std::int64_t kShortAnswerTokens = 5;
constexpr std::int64_t kLongAnswerTokens = 50;

struct Options {
  std::vector<std::string> engines;
  std::string entry;
  std::string key;
  std::vector<std::size_t> streams = {1, 50, 200};
  int rounds = 5;
  int seconds = 4;
  std::vector<int> entry_pids;
  std::vector<int> agent_pids;
  std::vector<int> engine_pids;
};

/** Totals over all rounds of one route at one number of streams. */
struct RouteResult {
  std::vector<double> first_token_ms;
  std::uint64_t answers = 0;
  std::uint64_t failures = 0;
  std::uint64_t tokens = 0;
  double seconds = 0;
  Seconds entry{0};
  Seconds agents{0};
  Seconds engines{0};
};

Seconds CpuTimeOf(const std::vector<int>& pids) {
  Seconds time{0};
  for (const int it : pids) {
    time += ReadProcess(it).processor;
  }
  return time;
}

std::vector<runtime::Endpoint> ReadEndpoints(
    const std::vector<std::string>& texts) {
  std::vector<runtime::Endpoint> endpoints;
  endpoints.reserve(texts.size());
  for (const std::string& it : texts) {
    endpoints.push_back(runtime::ParseEndpoint(it).value());
  }
  return endpoints;
}

void AddRound(const Options& options,
              const std::vector<std::string>& servers,
              std::size_t streams,
              RouteResult& route) {
  LoadOptions load;
  load.servers = ReadEndpoints(servers);
  load.key = options.key;
  load.model = "steady";
  load.streams = streams;
  load.tokens =
      streams < kShortAnswerStreams ? kShortAnswerTokens : kLongAnswerTokens;
  load.time = std::chrono::seconds(options.seconds);
  route.entry -= CpuTimeOf(options.entry_pids);
  route.agents -= CpuTimeOf(options.agent_pids);
  route.engines -= CpuTimeOf(options.engine_pids);
  const LoadResult result = RunLoad(load);
  route.entry += CpuTimeOf(options.entry_pids);
  route.agents += CpuTimeOf(options.agent_pids);
  route.engines += CpuTimeOf(options.engine_pids);
  route.first_token_ms.insert(route.first_token_ms.end(),
                              result.first_token_ms.begin(),
                              result.first_token_ms.end());
  route.answers += result.answers;
  route.failures += result.failures;
  route.tokens += result.tokens;
  route.seconds += result.seconds;
}

void PrintRoute(std::string_view name,
                std::size_t streams,
                const RouteResult& it) {
  const double per_token =
      kMicrosPerSecond /
      static_cast<double>(std::max<std::uint64_t>(1, it.tokens));
  json::object line{
      {"bench", "path"},
      {"way", name},
      {"streams", streams},
      {"first_token_median_ms", Quantile(it.first_token_ms, kMedian)},
      {"first_token_p99_ms", Quantile(it.first_token_ms, kP99)},
      {"tokens_per_s", static_cast<double>(it.tokens) / it.seconds},
      {"answers", it.answers},
      {"failures", it.failures},
      {"entry_us_per_token", it.entry.count() * per_token},
      {"agent_us_per_token", it.agents.count() * per_token},
      {"engine_us_per_token", it.engines.count() * per_token}};
  std::puts(json::serialize(line).c_str());
}

void PrintAdded(std::size_t streams,
                const RouteResult& direct,
                const RouteResult& via_entry) {
  auto added = [&](double ratio) {
    return Quantile(via_entry.first_token_ms, ratio) -
           Quantile(direct.first_token_ms, ratio);
  };
  json::object line{{"bench", "path"},
                    {"way", "added"},
                    {"streams", streams},
                    {"first_token_median_ms", added(kMedian)},
                    {"first_token_p99_ms", added(kP99)}};
  std::puts(json::serialize(line).c_str());
}

int Run(const Options& options) {
  std::uint64_t failures = 0;
  for (const std::size_t streams : options.streams) {
    RouteResult direct;
    RouteResult via_entry;
    for (int round = 0; round < options.rounds; ++round) {
      AddRound(options, options.engines, streams, direct);
      AddRound(options, {options.entry}, streams, via_entry);
    }
    PrintRoute("direct", streams, direct);
    PrintRoute("through", streams, via_entry);
    PrintAdded(streams, direct, via_entry);
    failures += direct.failures + via_entry.failures;
  }
  return failures == 0 ? 0 : 1;
}

}  // namespace
}  // namespace peridotgate::bench

int main(int argc, char** argv) {
  peridotgate::bench::Options options;
  CLI::App app("path");
  app.add_option("--engine", options.engines)->required();
  app.add_option("--entry", options.entry)->required();
  app.add_option("--key", options.key)->required();
  app.add_option("--streams", options.streams);
  app.add_option("--rounds", options.rounds);
  app.add_option("--seconds", options.seconds, "duration of each round");
  app.add_option("--entry-pid", options.entry_pids);
  app.add_option("--agent-pid", options.agent_pids);
  app.add_option("--engine-pid", options.engine_pids);
  CLI11_PARSE(app, argc, argv);
  return peridotgate::bench::Run(options);
}
