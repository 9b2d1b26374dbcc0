// Slopes of the state in entries and agents: rules, queues, cache blocks,
// streams, seats and metrics.
#include <algorithm>
#include <array>
#include <memory>
#include <random>

#include <spdlog/fmt/fmt.h>

#include "agent/cache_index.h"
#include "agent/core.h"
#include "bench/slopes.h"
#include "bench/slopes_fixtures.h"
#include "bench/slopes_meter.h"
#include "coordination/fair_queue.h"
#include "coordination/peers.h"
#include "entry/rules_book.h"
#include "routing/placement.h"
#include "runtime/gzip.h"
#include "runtime/metrics.h"

namespace peridotgate::bench {
namespace {

constexpr std::array<std::size_t, 5> kSmallCounts = {10, 30, 100, 300, 1000};
constexpr std::array<std::size_t, 5> kBlockCounts = {1000, 3000, 10000, 30000,
                                                     100000};
constexpr std::array<std::size_t, 5> kSeatCounts = {9, 100, 800, 3000, 12000};
constexpr std::array<std::size_t, 4> kCallCounts = {100, 1000, 3000, 10000};
constexpr double kNanosPerMicro = 1000;

std::vector<double> MeasureRulesBook(const BenchTargets& /*targets*/,
                                     std::size_t n) {
  const auto sections = MakeSections(n, kKindsPerOrganisation);
  double micros = 0;
  const double bytes = HeapGrowth([&] {
    std::unique_ptr<entry::RulesBook> book;
    micros = CpuMicros(
        [&] { book = std::make_unique<entry::RulesBook>(1, sections); });
    return book;
  });
  return {bytes, micros};
}

std::vector<double> MeasureKinds(const BenchTargets& /*targets*/,
                                 std::size_t n) {
  const auto sections = MakeSections(1, n);
  return {HeapGrowth(
      [&] { return std::make_unique<entry::RulesBook>(1, sections); })};
}

std::vector<double> MeasureFairQueue(const BenchTargets& /*targets*/,
                                     std::size_t n) {
  constexpr std::size_t kPops = 100;
  coordination::FairQueue<std::int64_t> queue;
  const double bytes = HeapGrowth([&] {
    for (std::size_t i = 0; i < n; ++i) {
      queue.Push(fmt::format("organisation-{}", i), 1, 1, 0);
    }
    return 0;
  });
  const double micros = CpuMicros([&] {
    for (std::size_t i = 0; i < kPops; ++i) {
      auto next = queue.Pop();
      queue.Push(next->flow, 1, 1, 0);
    }
  });
  return {bytes, micros * kNanosPerMicro / kPops};
}

std::vector<double> MeasureBlocks(const BenchTargets& /*targets*/,
                                  std::size_t n) {
  // Multiples of an odd number are distinct modulo 2^64.
  constexpr std::uint64_t kOddMultiplier = 0x9e3779b97f4a7c15;
  agent::CacheIndex index;
  double store_us = 0;
  const double bytes = HeapGrowth([&] {
    store_us = CpuMicros([&] {
      for (std::uint64_t i = 0; i < n; ++i) {
        index.Store(i * kOddMultiplier, i * kOddMultiplier + 1);
      }
    });
    return 0;
  });
  const double remove_us = CpuMicros([&] {
    for (std::uint64_t i = 0; i < n; ++i) {
      index.Remove(i * kOddMultiplier);
    }
  });
  return {bytes, (store_us + remove_us) * kNanosPerMicro / 2};
}

std::vector<double> MeasurePlacement(const BenchTargets& /*targets*/,
                                     std::size_t n) {
  constexpr std::size_t kDecisions = 50;
  constexpr std::size_t kCandidates = 3;
  const auto seats = MakeSeats(n);
  std::unique_ptr<routing::PlacementTable> table;
  double build_us = 0;
  const double bytes = HeapGrowth([&] {
    build_us = CpuMicros(
        [&] { table = std::make_unique<routing::PlacementTable>(seats); });
    return 0;
  });
  const double decision_us = CpuMicros([&] {
    for (std::uint64_t i = 0; i < kDecisions; ++i) {
      DoNotOptimise(table->Homes(i, kCandidates));
    }
  });
  return {bytes, build_us * kNanosPerMicro,
          decision_us * kNanosPerMicro / kDecisions};
}

std::vector<double> MeasureWaitingStreams(const BenchTargets& /*targets*/,
                                          std::size_t n) {
  CoreFixture fixture(/*slots=*/1, /*queued=*/n + 1);
  const double bytes = HeapGrowth([&] {
    for (std::size_t i = 0; i < n; ++i) {
      fixture.core.OnDispatch(1, MakeDispatch(i));
    }
    return 0;
  });
  return {bytes};
}

// Tokens of one running stream, which the core retains until some time after
// its end.
std::vector<double> MeasureStreamTokens(const BenchTargets& /*targets*/,
                                        std::size_t n) {
  CoreFixture fixture(/*slots=*/1, /*queued=*/1);
  fixture.core.OnDispatch(1, MakeDispatch(0));
  const agent::AttemptId id = IdOf(MakeDispatch(0));
  fixture.core.OnBackendEvent({id, agent::BackendHead{200, "text/plain"}});
  double micros = 0;
  const double bytes = HeapGrowth([&] {
    micros = CpuMicros([&] {
      for (std::size_t i = 0; i < n; ++i) {
        fixture.core.OnBackendEvent(
            {id, agent::BackendData{std::string(kTokenEvent)}});
      }
    });
    return 0;
  });
  return {bytes, micros * kNanosPerMicro};
}

std::vector<double> MeasureProbes(const BenchTargets& /*targets*/,
                                  std::size_t n) {
  constexpr std::int32_t kSlots = 16;
  CoreFixture fixture(kSlots, kSlots);
  for (std::size_t i = 0; i < kSlots; ++i) {
    fixture.core.OnDispatch(1, MakeDispatch(i));
  }
  const wire::ProbeRequest request = MakeProbe();
  return {kNanosPerMicro * CpuMicros([&] {
            for (std::size_t i = 0; i < n; ++i) {
              DoNotOptimise(fixture.core.Probe(request));
            }
          })};
}

// Adds series with varied values, like those of a busy process.
void FillMetrics(runtime::Metrics& metrics, std::size_t n) {
  constexpr double kMaxMs = 1500;
  constexpr int kSamples = 20;
  constexpr std::uint64_t kMaxCalls = 1000000;
  coordination::RandomEngine random(1);
  std::uniform_real_distribution<double> time(0, kMaxMs);
  std::uniform_int_distribution<std::uint64_t> calls(0, kMaxCalls);
  for (std::size_t i = 0; i < n; ++i) {
    const std::string name = std::to_string(i);
    metrics.GetCounter("peridotgate_bench_total", {{"organisation", name}})
        .Add(calls(random));
    runtime::Distribution& times = metrics.GetDistribution(
        "peridotgate_bench_ms", {{"organisation", name}});
    for (int k = 0; k < kSamples; ++k) {
      times.Observe(time(random));
    }
  }
}

std::vector<double> MeasureMetrics(const BenchTargets& /*targets*/,
                                   std::size_t n) {
  auto metrics = std::make_unique<runtime::Metrics>();
  const double counters = HeapGrowth([&] {
    for (std::size_t i = 0; i < n; ++i) {
      const std::string name = std::to_string(i);
      metrics->GetCounter("peridotgate_bench_total", {{"organisation", name}});
    }
    return 0;
  });
  const double distributions = HeapGrowth([&] {
    for (std::size_t i = 0; i < n; ++i) {
      const std::string name = std::to_string(i);
      metrics->GetDistribution("peridotgate_bench_ms", {{"organisation", name}})
          .Observe(1);
    }
    return 0;
  });
  FillMetrics(*metrics, n);
  std::string printed;
  const double micros = CpuMicros([&] { printed = metrics->Print(); });
  std::string packed;
  const double pack_micros =
      CpuMicros([&] { packed = runtime::Gzip(printed); });
  return {counters,
          distributions,
          micros,
          static_cast<double>(printed.size()),
          static_cast<double>(packed.size()),
          pack_micros};
}

constexpr std::array<SlopeOutput, 2> kBookOutputs = {
    {{"organisation_book_bytes", "B of heap an organisation"},
     {"organisation_book_us", "us to rebuild an organisation"}}};
constexpr std::array<SlopeOutput, 1> kKindOutputs = {
    {{"kind_book_bytes", "B of heap a kind"}}};
constexpr std::array<SlopeOutput, 2> kQueueOutputs = {
    {{"organisation_queue_bytes", "B of heap an organisation"},
     {"organisation_pop_ns", "ns an organisation waiting, each pop"}}};
constexpr std::array<SlopeOutput, 2> kBlockOutputs = {
    {{"block_bytes", "B of heap a block"},
     {"block_event_ns", "ns an event applied"}}};
constexpr std::array<SlopeOutput, 3> kPlacementOutputs = {
    {{"seat_bytes", "B of heap a seat"},
     {"seat_build_ns", "ns to place a seat"},
     {"seat_decision_ns", "ns a seat, each decision"}}};
constexpr std::array<SlopeOutput, 1> kWaitingOutputs = {
    {{"waiting_stream_bytes", "B of heap a waiting stream"}}};
constexpr std::array<SlopeOutput, 2> kTokenOutputs = {
    {{"retained_token_bytes", "B of heap a token retained"},
     {"core_token_ns", "ns a token in the agent's core"}}};
constexpr std::array<SlopeOutput, 1> kProbeOutputs = {
    {{"core_probe_ns", "ns a probe in the agent's core"}}};
constexpr std::array<SlopeOutput, 6> kMetricOutputs = {
    {{"counter_bytes", "B of heap a counter"},
     {"distribution_bytes", "B of heap a distribution"},
     {"series_print_us", "us to print a counter and a distribution"},
     {"series_text_bytes", "B of text of both"},
     {"series_packed_bytes", "B of both, packed"},
     {"series_pack_us", "us to pack both"}}};

constexpr std::array<SlopeCase, 9> kCases = {
    {{kBookOutputs, kSmallCounts, &MeasureRulesBook},
     {kKindOutputs, kSmallCounts, &MeasureKinds},
     {kQueueOutputs, kSmallCounts, &MeasureFairQueue},
     {kBlockOutputs, kBlockCounts, &MeasureBlocks},
     {kPlacementOutputs, kSeatCounts, &MeasurePlacement},
     {kWaitingOutputs, kSmallCounts, &MeasureWaitingStreams},
     {kTokenOutputs, kCallCounts, &MeasureStreamTokens},
     {kProbeOutputs, kCallCounts, &MeasureProbes},
     {kMetricOutputs, kSmallCounts, &MeasureMetrics}}};

}  // namespace

std::span<const SlopeCase> StateSlopes() {
  return kCases;
}

}  // namespace peridotgate::bench
