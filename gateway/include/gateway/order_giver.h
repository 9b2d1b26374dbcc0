// Gives orders to backend servers while this process holds the lease on that
// duty, and tells the other gateways how far the roll-out is.
#ifndef GATEWAY_ORDER_GIVER_H_
#define GATEWAY_ORDER_GIVER_H_

#include <functional>
#include <memory>
#include <string>

#include "coordination/clock.h"
#include "gateway/fleet_source.h"
#include "gateway/fleet_view.h"
#include "gateway/protocol.h"
#include "gateway/settings.h"
#include "runtime/duty.h"
#include "runtime/metrics.h"

namespace peridotgate::gateway {

/** Runs on the control duty. */
class OrderGiver {
 public:
  /** Called with what changed, before an order is sent and after it holds. */
  using Tell = std::function<void(const RolloutMap&)>;

  OrderGiver(runtime::Duty& duty,
             const GatewaySettings& settings,
             Store& store,
             const ServerProtocol& servers,
             Tell tell,
             runtime::Metrics& metrics);
  ~OrderGiver();

  void Start();
  void OnView(const FleetView& view);
  /** Another gateway told of orders that it gives. */
  void OnOtherGiver();
  /** Takes the duty no more. A roll-out under way goes on for up to `grace`,
   * since the next holder may only begin a lease's margin later. */
  void Leave(Millis grace);

 private:
  struct Contents;
  std::shared_ptr<Contents> contents_;
};

}  // namespace peridotgate::gateway

#endif  // GATEWAY_ORDER_GIVER_H_
