// Chooses at random among servers that are equally good as far as is known.
// Answers the load at which many gateways decide at the same moment on the same
// old knowledge: choosing the least cost, all of them would send to one server.
// No I/O.
#ifndef ROUTING_EVEN_CHOICE_H_
#define ROUTING_EVEN_CHOICE_H_

#include <cstddef>
#include <span>

namespace peridotgate::routing {

/** What others may have sent since the costs were known. */
struct UnseenLoad {
  double requests_per_s = 0;  // That the others send to all servers together.
  double age_ms = 0;          // Of what is known of them.
  double request_ms = 0;      // Work of one request.
  std::size_t servers = 1;    // Among which they are sent.
};

/** How much the costs of servers may differ from what is known: the work of one
 * request if another one was sent meanwhile, and more if several were sent to
 * each server. */
double CostUncertainty(const UnseenLoad& unseen);

/**
 * The index of a cost within `uncertainty_ms` of the least, by weights that
 * fall linearly to none at that distance; the first of the least if nothing is
 * uncertain. `random` is from 0 to 1. `costs` must not be empty.
 */
std::size_t ChooseEvenly(std::span<const double> costs,
                         double uncertainty_ms,
                         double random);

}  // namespace peridotgate::routing

#endif  // ROUTING_EVEN_CHOICE_H_
