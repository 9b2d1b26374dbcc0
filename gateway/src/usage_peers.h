// Selects the gateways that a gateway reports its usage of servers to.
#ifndef GATEWAY_USAGE_PEERS_H_
#define GATEWAY_USAGE_PEERS_H_

#include <cstddef>
#include <vector>

#include "runtime/settings_reader.h"

namespace peridotgate::gateway {

/** Up to `max` of `peers`: those that follow `own` in the order of addresses,
 * which wraps around. All gateways that know the same peers are selected by
 * equally many others, so none is left without reports. */
std::vector<runtime::Endpoint> SelectUsagePeers(
    const runtime::Endpoint& own,
    std::vector<runtime::Endpoint> peers,
    std::size_t max);

}  // namespace peridotgate::gateway

#endif  // GATEWAY_USAGE_PEERS_H_
