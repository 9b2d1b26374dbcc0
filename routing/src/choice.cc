#include "routing/choice.h"

#include <algorithm>
#include <vector>

namespace peridotgate::routing {
namespace {

// Weight of recomputed prefill for each queued call: it delays these calls, and
// evicts cache entries that later calls would use.
constexpr double kRecomputeDelayWeight = 2;
// Cost of each call in flight on the server, which shares its batch.
constexpr Micros kInFlightCost{20000};

// Calls with at least this many pieces to compute are long work for the engine.
constexpr std::int32_t kLongPieces = 8;
// Additional cost of each long call in flight on the server.
constexpr Micros kLongInFlightCost{0};

// Assumed prefill time of a piece when no server has a measured one.
constexpr Micros kDefaultPrefill{50000};
// Differences from the median up to this fraction (1/n) are treated as noise.
constexpr std::int64_t kNoiseDivisor = 4;

// The median over the servers with a measured prefill time.
Micros MedianPrefill(std::span<const ProbedServer> servers) {
  std::vector<Micros> shown;
  for (const ProbedServer& it : servers) {
    if (it.prefill_per_piece > Micros(0)) {
      shown.push_back(it.prefill_per_piece);
    }
  }
  if (shown.empty()) {
    return kDefaultPrefill;
  }
  const auto middle =
      shown.begin() + static_cast<std::ptrdiff_t>((shown.size() - 1) / 2);
  std::nth_element(shown.begin(), middle, shown.end());
  return *middle;
}

std::int32_t MissingPieces(const ProbedServer& server,
                           const RouteQuery& query) {
  const auto chain = static_cast<std::int32_t>(query.chain.size());
  return std::max(0, chain - server.held_pieces);
}

Micros MissingPrefill(const ProbedServer& server, const RouteQuery& query) {
  return MissingPieces(server, query) * server.prefill_per_piece;
}

Micros Scale(Micros time, double by) {
  return Micros(
      static_cast<std::int64_t>(static_cast<double>(time.count()) * by));
}

Micros Cost(const ProbedServer& server, const RouteQuery& query) {
  return PredictFirstToken(server, query) +
         Scale(MissingPrefill(server, query),
               1 + kRecomputeDelayWeight * server.queued) +
         server.long_in_flight * kLongInFlightCost +
         Scale(server.in_flight * kInFlightCost, server.slowness);
}

}  // namespace

void Arrange(std::span<ProbedServer> servers,
             std::span<const SeatIndex> asked) {
  std::ranges::sort(servers, {}, [&](const ProbedServer& it) {
    return std::ranges::find(asked, it.seat) - asked.begin();
  });
  const Micros median = MedianPrefill(servers);
  for (ProbedServer& it : servers) {
    const bool shown = it.prefill_per_piece > Micros(0);
    const Micros difference = std::chrono::abs(it.prefill_per_piece - median);
    if (!shown || difference <= median / kNoiseDivisor) {
      it.prefill_per_piece = median;
    }
  }
}

Micros PredictFirstToken(const ProbedServer& server, const RouteQuery& query) {
  const Micros remainder =
      server.prefill_per_piece / 2;  // Prompt after the last whole piece.
  return server.queue_wait +
         Scale(remainder + MissingPrefill(server, query), server.slowness);
}

std::optional<Choice> ChooseServer(std::span<const ProbedServer> servers,
                                   const RouteQuery& query) {
  const ProbedServer* best = nullptr;
  for (const ProbedServer& it : servers) {
    if (it.leaving) {
      continue;
    }
    if (best == nullptr || Cost(it, query) < Cost(*best, query)) {
      best = &it;
    }
  }
  if (best == nullptr) {
    return std::nullopt;
  }
  return Choice{best->seat, PredictFirstToken(*best, query),
                MissingPieces(*best, query) < kLongPieces ? 0 : 1};
}

}  // namespace peridotgate::routing
