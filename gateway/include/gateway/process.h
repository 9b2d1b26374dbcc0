// The gateway process: its event-loop threads, listeners and shutdown.
#ifndef GATEWAY_PROCESS_H_
#define GATEWAY_PROCESS_H_

#include <functional>
#include <memory>
#include <string>

#include "gateway/fleet_source.h"
#include "gateway/protocol.h"
#include "gateway/settings.h"
#include "runtime/metrics.h"

namespace peridotgate::gateway {

/** The protocol implementations that a gateway runs with. */
struct Protocols {
  const CallerProtocol& callers;
  const ServerProtocol& servers;
  const FleetFormat& format;
  std::string readiness_path;
  /** Creates the store client for one io_context. */
  std::function<std::unique_ptr<Store>(asio::io_context&,
                                       const runtime::Endpoint&,
                                       runtime::Metrics&)>
      make_store;
};

/** Runs a gateway until it receives a stop signal; returns the exit status. */
int RunGateway(const GatewaySettings& settings, const Protocols& protocols);

}  // namespace peridotgate::gateway

#endif  // GATEWAY_PROCESS_H_
