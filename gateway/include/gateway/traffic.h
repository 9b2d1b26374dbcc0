// The traffic duty of a gateway: callers in, backend servers out.
#ifndef GATEWAY_TRAFFIC_H_
#define GATEWAY_TRAFFIC_H_

#include <memory>
#include <string>

#include "coordination/clock.h"
#include "gateway/fleet_view.h"
#include "gateway/protocol.h"
#include "gateway/server_book.h"
#include "gateway/settings.h"
#include "runtime/duty.h"
#include "runtime/metrics.h"

namespace peridotgate::gateway {

/** Serves callers. Every member runs on the traffic duty but where said. */
class Traffic {
 public:
  Traffic(runtime::Duty& duty,
          const coordination::Clock& clock,
          const GatewaySettings& settings,
          const CallerProtocol& callers,
          const ServerProtocol& servers,
          runtime::Metrics& metrics);
  ~Traffic();

  /** Binds; false with `error` filled when the address can't be had. */
  bool Listen(std::string& error);

  void OnView(FleetView view);
  void OnCacheStore(const CacheStoreNews& news);

  /** From now on each connection ends with its next answer. */
  void StopKeeping();
  /** Closes the listening socket and idle connections. */
  void StopAccepting();
  /** Requests being served now. Any thread may ask. */
  std::size_t open_requests() const;

 private:
  struct Contents;
  std::shared_ptr<Contents> contents_;
};

}  // namespace peridotgate::gateway

#endif  // GATEWAY_TRAFFIC_H_
