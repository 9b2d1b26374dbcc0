// What the connections and requests of the traffic duty share.
#ifndef GATEWAY_TRAFFIC_PARTS_H_
#define GATEWAY_TRAFFIC_PARTS_H_

#include <atomic>
#include <cstddef>
#include <functional>
#include <set>
#include <string>
#include <unordered_map>

#include <boost/asio/io_context.hpp>

#include "connection_pool.h"
#include "coordination/clock.h"
#include "coordination/retry_budget.h"
#include "gateway/protocol.h"
#include "gateway/server_book.h"
#include "gateway/settings.h"
#include "runtime/metrics.h"

namespace peridotgate::gateway {

class CallerStream;

/** One per process; touched on the traffic duty. */
struct TrafficParts {
  asio::io_context& context;
  const coordination::Clock& clock;
  const GatewaySettings& settings;
  const CallerProtocol& callers;
  const ServerProtocol& servers;
  runtime::Metrics& metrics;
  ConnectionPool pool;
  coordination::RetryBudget retries;
  ServerBook book;
  FleetView view = {};
  std::unordered_map<std::string, double> late_share = {};  // By service.
  std::set<CallerStream*> idle = {};  // Connections between two requests.
  std::size_t body_bytes = 0;  // Held for requests that are being served.
  std::function<void()> on_use_changed = {};  // The book's own use changed.
  bool keeping = true;
  bool accepting = true;
  std::atomic<std::size_t> open_requests{0};
};

}  // namespace peridotgate::gateway

#endif  // GATEWAY_TRAFFIC_PARTS_H_
