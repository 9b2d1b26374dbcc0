// The traffic thread of a gateway: relays requests of callers to backend
// servers.
#ifndef GATEWAY_TRAFFIC_H_
#define GATEWAY_TRAFFIC_H_

#include <memory>
#include <string>

#include "coordination/clock.h"
#include "gateway/fleet_view.h"
#include "gateway/load_balancer.h"
#include "gateway/protocol.h"
#include "gateway/settings.h"
#include "runtime/duty.h"
#include "runtime/metrics.h"

namespace peridotgate::gateway {

/** Serves callers. Every member runs on the traffic thread unless noted. */
class Traffic {
 public:
  Traffic(runtime::Duty& duty,
          const coordination::Clock& clock,
          const GatewaySettings& settings,
          const CallerProtocol& callers,
          const ServerProtocol& servers,
          runtime::Metrics& metrics);
  ~Traffic();

  /** Binds the listening socket; returns false and sets `error` on failure. */
  bool Listen(std::string& error);

  /** Sets what is called when a server said something new about itself, on the
   * traffic thread. */
  void SetOnNotice(std::function<void(const routing::ServerNotice&)> handler);
  /** A server said something in an answer that another thread received. */
  void OnNotice(const routing::ServerNotice& notice);
  /** Another thread sends a request to the server. */
  void OnServerRequest(const routing::Incarnation& server);
  void OnView(FleetView view);
  void OnCacheStore(const CacheStoreUpdate& update);

  /** The process stops at `time`: a request is only sent to a server if it can
   * end before that. */
  void StopBy(TimePoint time);
  /** Closes each connection after its next response from now on. */
  void StopKeepAlive();
  /** Accepts what callers have connected, then closes the listening socket and
   * idle connections. Requests that have reached this machine are served. */
  void StopAccepting();
  /** Ends the requests that are still open: tells their callers what is known,
   * and breaks off streams. */
  void EndRequests();
  /** Whether nothing is left to serve after `StopAccepting`. Thread safe. */
  bool drained() const;
  /** Number of requests being served. Thread safe. */
  std::size_t open_requests() const;

 private:
  struct Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace peridotgate::gateway

#endif  // GATEWAY_TRAFFIC_H_
