// Chooses among probed servers by predicted time to first token.
#ifndef ROUTING_CHOICE_H_
#define ROUTING_CHOICE_H_

#include <chrono>
#include <cstdint>
#include <optional>
#include <span>

#include "routing/placement.h"

namespace peridotgate::routing {

using Micros = std::chrono::microseconds;

/** The response of a server's agent to a probe. */
struct ProbedServer {
  SeatIndex seat = 0;
  std::int32_t held_pieces = 0;
  std::int32_t in_flight = 0;
  std::int32_t queued = 0;
  Micros queue_wait{0};         // For a call of the same organisation.
  Micros prefill_per_piece{0};  // 0 if not measured yet.
  double slowness = 1;          // Relative to its own normal speed.
  std::int32_t long_in_flight = 0;
  bool leaving = false;
};

/** The chosen server and the time to first token predicted for it. */
struct Choice {
  SeatIndex seat = 0;
  Micros predicted{0};
  std::int32_t priority = 0;  // Engine priority; long work goes after short.
};

/**
 * Normalises probe responses before a choice among them. Sorts them in the
 * order in which the servers were probed, so that the more preferred server
 * comes first among equals. A server without a measured prefill speed gets the
 * median of the measured ones, and so does one close to the median: such a
 * small difference is noise.
 */
void Arrange(std::span<ProbedServer> servers, std::span<const SeatIndex> asked);

/** Predicted time to first token of `query` on `server`. */
Micros PredictFirstToken(const ProbedServer& server, const RouteQuery& query);

/**
 * The server with the lowest cost, the first among equals, or nothing if all
 * are leaving. The cost is the predicted time plus the cost to other calls:
 * recomputed prefill, and a slot in a busier batch.
 */
std::optional<Choice> ChooseServer(std::span<const ProbedServer> servers,
                                   const RouteQuery& query);

}  // namespace peridotgate::routing

#endif  // ROUTING_CHOICE_H_
