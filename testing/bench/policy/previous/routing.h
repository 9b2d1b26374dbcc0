// An earlier version of placement and server choice, kept as a baseline of the
// bench.
#ifndef TESTING_BENCH_POLICY_PREVIOUS_ROUTING_H_
#define TESTING_BENCH_POLICY_PREVIOUS_ROUTING_H_

#include <cstddef>
#include <optional>
#include <span>
#include <vector>

#include "routing/choice.h"

namespace peridotgate::bench::previous {

/** At most `count` different seats for `query`, best first. */
std::vector<routing::SeatIndex> Candidates(
    std::span<const routing::ServerSeat> seats,
    const routing::RouteQuery& query,
    std::size_t count);

/** The server with the lowest predicted time; none if all are leaving. */
std::optional<routing::Choice> ChooseServer(
    std::span<const routing::ProbedServer> servers,
    const routing::RouteQuery& query);

}  // namespace peridotgate::bench::previous

#endif  // TESTING_BENCH_POLICY_PREVIOUS_ROUTING_H_
