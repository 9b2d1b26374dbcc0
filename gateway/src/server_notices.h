// Applies what backend servers say of themselves in their answers.
#ifndef GATEWAY_SERVER_NOTICES_H_
#define GATEWAY_SERVER_NOTICES_H_

#include "routing/server_standing.h"
#include "traffic_parts.h"

namespace peridotgate::gateway {

/** What an answer with this head, to a request that was sent at `sent_at`, says
 * of the server that sent it. */
routing::ServerNotice ReadNotice(routing::Incarnation server,
                                 const ResponseHead& head,
                                 const ServerProtocol& protocol,
                                 TimePoint sent_at);

/** Used on the traffic thread. */
void ApplyNotice(TrafficParts& parts, const routing::ServerNotice& notice);

}  // namespace peridotgate::gateway

#endif  // GATEWAY_SERVER_NOTICES_H_
