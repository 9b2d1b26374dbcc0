// State shared by the connections and requests of the traffic thread.
#ifndef GATEWAY_TRAFFIC_PARTS_H_
#define GATEWAY_TRAFFIC_PARTS_H_

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>

#include <boost/asio/io_context.hpp>

#include "admission_gate.h"
#include "buffer_account.h"
#include "connection_pool.h"
#include "coordination/clock.h"
#include "coordination/retry_budget.h"
#include "crash_watch.h"
#include "gateway/admission.h"
#include "gateway/load_balancer.h"
#include "gateway/protocol.h"
#include "gateway/settings.h"
#include "quotas.h"
#include "runtime/metrics.h"

namespace peridotgate::gateway {

class CallerStream;
class Exchange;

/** One per process; used on the traffic thread only, apart from the
 * atomics. */
struct TrafficParts {
  asio::io_context& context;
  const coordination::Clock& clock;
  const GatewaySettings& settings;
  const CallerProtocol& callers;
  const ServerProtocol& servers;
  runtime::Metrics& metrics;
  ConnectionPool pool;
  coordination::RetryBudget retries;
  LoadBalancer balancer;
  CrashWatch crashes;
  Quotas quotas;
  AdmissionGate gate;
  Admission admission = {};
  FleetView view = {};
  std::unordered_map<std::string, double> late_share = {};  // By service.
  // Connections waiting for a request, the one that waits longest first.
  std::map<std::uint64_t, CallerStream*> idle = {};
  std::uint64_t last_idle = 0;
  // Server connections may outlive this object and still hold bodies.
  std::shared_ptr<BufferAccount> buffers =
      std::make_shared<BufferAccount>(settings);
  // Called when the local usage changes.
  std::function<void()> on_usage_changed = {};
  // Called when a server said something new about itself.
  std::function<void(const routing::ServerNotice&)> on_notice = {};
  std::set<Exchange*> exchanges = {};  // Requests being served.
  // While the process stops: when the last responses must have been sent.
  std::optional<TimePoint> stop_by = {};
  bool keep_alive = true;
  std::atomic<bool> accepting{true};
  std::atomic<std::size_t> connections{0};  // Of callers.
  std::atomic<std::size_t> open_requests{0};
};

}  // namespace peridotgate::gateway

#endif  // GATEWAY_TRAFFIC_PARTS_H_
