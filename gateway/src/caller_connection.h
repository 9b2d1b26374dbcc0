// Reads the requests of one caller's connection in sequence.
#ifndef GATEWAY_CALLER_CONNECTION_H_
#define GATEWAY_CALLER_CONNECTION_H_

#include <memory>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>

#include "caller_stream.h"
#include "traffic_parts.h"

namespace peridotgate::gateway {

/** Serves a caller's connection until either side ends it. */
asio::awaitable<void> ServeCaller(std::shared_ptr<CallerStream> caller,
                                  TrafficParts& parts);

}  // namespace peridotgate::gateway

#endif  // GATEWAY_CALLER_CONNECTION_H_
