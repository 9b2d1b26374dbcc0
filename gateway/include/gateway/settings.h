// Settings of a gateway: its addresses, peers and limits.
#ifndef GATEWAY_SETTINGS_H_
#define GATEWAY_SETTINGS_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "coordination/quota.h"
#include "gateway/rules.h"
#include "runtime/settings_reader.h"

namespace peridotgate::gateway {

/** Validated as a whole at start; every fault is reported with its line. */
struct GatewaySettings {
  std::string instance;
  std::string data_centre;
  runtime::Endpoint callers;
  runtime::Endpoint readiness;
  runtime::Endpoint peers;
  runtime::Endpoint operators;
  runtime::Endpoint store;
  std::vector<runtime::Endpoint> seeds;  // Peers to contact at start.
  Millis stop_within{8000};  // From SIGTERM to the end of the process.
  double retry_ratio = 0.2;  // Retries per request.
  double retry_slack = 50;   // Retry burst, across all gateways.
  // By how much the quotas of organisations may be exceeded.
  coordination::QuotaTolerance quota_tolerance;
  // Whether requests that no server has room for wait at the gateway.
  bool queue = true;
  // Minimum time between the orders of two rollout leaders.
  Millis lease{3000};
  Millis weights_deadline{10000};
  double memory_mb = 0;  // 0: unknown.
  // The part of the memory that bodies and held responses may use together.
  double buffer_share = 0.5;
  // Maximum number of connections of callers; 0: from the limits of the
  // process.
  std::int64_t connections = 0;
  int capacity = 0;  // Processor share in thousandths of a core; 0: unknown.
  std::string log_level = "info";
};

GatewaySettings ReadGatewaySettings(runtime::SettingsReader& reader);

/** How many bytes request bodies and responses that are held until they are
 * complete may use together. */
std::size_t MaxBufferBytes(const GatewaySettings& settings);

/** How many connections callers may have. */
std::size_t MaxConnections(const GatewaySettings& settings);

}  // namespace peridotgate::gateway

#endif  // GATEWAY_SETTINGS_H_
