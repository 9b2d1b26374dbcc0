// End-to-end slopes: an entry and agents run as separate processes, whose use
// of processor time and memory is read from /proc.
#include <array>
#include <cstdio>

#include "bench/path_load.h"
#include "bench/slopes.h"
#include "bench/slopes_meter.h"

namespace peridotgate::bench {
namespace {

constexpr std::array<std::size_t, 5> kTokenCounts = {1000, 3000, 10000, 30000,
                                                     100000};
constexpr std::array<std::size_t, 5> kRequestCounts = {20, 60, 200, 600, 2000};
constexpr std::array<std::size_t, 5> kStreamCounts = {10, 30, 100, 300, 1000};
constexpr std::size_t kTokenStreams = 100;
constexpr std::size_t kRequestStreams = 20;
constexpr std::int64_t kIdleTokens = 1000;
constexpr double kMicrosPerSecond = 1e6;

/** Resources used by the entry and an agent so far. */
struct PathUsage {
  ProcessCounts entry;
  ProcessCounts agent;
  Seconds callers;
  Seconds router;
  Seconds peers;
  Seconds backend;
};

PathUsage ReadPath(const BenchTargets& targets, int agent_pid) {
  return {ReadProcess(targets.entry_pid),
          ReadProcess(agent_pid),
          ThreadTime(targets.entry_pid, "callers"),
          ThreadTime(targets.entry_pid, "router"),
          ThreadTime(agent_pid, "peridotgate-age"),
          ThreadTime(agent_pid, "backend")};
}

LoadOptions MakeLoad(const BenchTargets& targets, std::string model) {
  LoadOptions load;
  load.servers = {targets.entry};
  load.key = targets.key;
  load.model = std::move(model);
  return load;
}

void ReportFailures(const LoadResult& result) {
  if (result.failures > 0) {
    std::fprintf(stderr,
                 "slopes: %llu answers failed or were incomplete; expected 0\n",
                 static_cast<unsigned long long>(result.failures));
  }
}

double MicrosBetween(Seconds before, Seconds after) {
  return (after - before).count() * kMicrosPerSecond;
}

std::vector<double> MeasureTokens(const BenchTargets& targets, std::size_t n) {
  LoadOptions load = MakeLoad(targets, "steady");
  load.streams = kTokenStreams;
  load.tokens = static_cast<std::int64_t>(n / kTokenStreams);
  const PathUsage before = ReadPath(targets, targets.agent_pid);
  const LoadResult result = RunLoad(load);
  const PathUsage after = ReadPath(targets, targets.agent_pid);
  ReportFailures(result);
  return {MicrosBetween(before.callers, after.callers),
          MicrosBetween(before.router, after.router),
          MicrosBetween(before.peers, after.peers),
          MicrosBetween(before.backend, after.backend),
          after.entry.wakeups - before.entry.wakeups,
          after.agent.wakeups - before.agent.wakeups,
          static_cast<double>(result.bytes)};
}

std::vector<double> MeasureRequests(const BenchTargets& targets,
                                    std::size_t n) {
  LoadOptions load = MakeLoad(targets, "steady");
  load.streams = kRequestStreams;
  load.requests = n / kRequestStreams;
  load.tokens = 1;
  const PathUsage before = ReadPath(targets, targets.agent_pid);
  ReportFailures(RunLoad(load));
  const PathUsage after = ReadPath(targets, targets.agent_pid);
  return {MicrosBetween(before.entry.processor, after.entry.processor),
          MicrosBetween(before.agent.processor, after.agent.processor)};
}

std::vector<double> MeasureOpenStreams(const BenchTargets& targets,
                                       std::size_t n) {
  LoadOptions load = MakeLoad(targets, "idle");
  load.streams = n;
  load.tokens = kIdleTokens;
  std::vector<double> resident = {0, 0};
  const bool open = HoldStreams(load, [&] {
    resident = {ReadProcess(targets.entry_pid).resident_bytes,
                ReadProcess(targets.idle_agent_pid).resident_bytes};
  });
  if (!open) {
    std::fprintf(stderr,
                 "slopes: not all of %zu streams opened before the timeout\n",
                 n);
  }
  return resident;
}

constexpr std::array<SlopeOutput, 7> kTokenOutputs = {
    {{"entry_callers_token_us", "us a token on the entry's callers duty"},
     {"entry_router_token_us", "us a token on the entry's router duty"},
     {"agent_peers_token_us", "us a token on the agent's peers duty"},
     {"agent_backend_token_us", "us a token on the agent's backend duty"},
     {"entry_token_wakeups", "wake-ups of the entry a token"},
     {"agent_token_wakeups", "wake-ups of the agent a token"},
     {"caller_token_bytes", "B a token, entry to caller"}}};
constexpr std::array<SlopeOutput, 2> kRequestOutputs = {
    {{"entry_request_us", "us a request of one token in the entry"},
     {"agent_request_us", "us a request of one token in the agent"}}};
constexpr std::array<SlopeOutput, 2> kStreamOutputs = {
    {{"entry_stream_bytes", "B resident in the entry an open stream"},
     {"agent_stream_bytes", "B resident in the agent an open stream"}}};

constexpr std::array<SlopeCase, 3> kCases = {
    {{kTokenOutputs, kTokenCounts, &MeasureTokens},
     {kRequestOutputs, kRequestCounts, &MeasureRequests},
     {kStreamOutputs, kStreamCounts, &MeasureOpenStreams, true}}};

}  // namespace

std::span<const SlopeCase> PathSlopes() {
  return kCases;
}

}  // namespace peridotgate::bench
