// Orders backend servers to load weights while this gateway holds the rollout
// lease, and broadcasts the progress of the rollout to the other gateways.
#ifndef GATEWAY_ROLLOUT_LEADER_H_
#define GATEWAY_ROLLOUT_LEADER_H_

#include <functional>
#include <memory>
#include <span>
#include <string>

#include "coordination/clock.h"
#include "gateway/feed_plan.h"
#include "gateway/fleet_source.h"
#include "gateway/fleet_view.h"
#include "gateway/protocol.h"
#include "gateway/settings.h"
#include "routing/server_standing.h"
#include "runtime/duty.h"
#include "runtime/metrics.h"

namespace peridotgate::gateway {

/** Runs on the control thread. */
class RolloutLeader {
 public:
  /** Called with the servers whose progress changed, and regularly with all
   * of them. */
  using Broadcast = std::function<void(const RolloutMap&)>;

  RolloutLeader(runtime::Duty& duty,
                const GatewaySettings& settings,
                Store& store,
                const ServerProtocol& servers,
                Broadcast broadcast,
                runtime::Metrics& metrics);
  ~RolloutLeader();

  void Start();
  void OnView(const FleetView& view);
  /** Sets what is called with what servers say in answers to this object. */
  void SetOnNotice(std::function<void(const routing::ServerNotice&)> handler);
  /** Sets what is called before each request to a server. */
  void SetOnRequest(std::function<void(const routing::Incarnation&)> handler);
  /** A server said something in an answer to someone else. */
  void OnNotice(const routing::ServerNotice& notice);
  /** Sets the live peer gateways, which order who requests the lease first. */
  void OnPeers(std::span<const PeerGateway> peers);
  /** Another gateway reported progress, so it leads the rollout. */
  void OnPeerLeader();
  /** The process stops in `time` at the latest. Until then this gateway goes on
   * leading a rollout, since the next holder may only start a lease margin
   * after it, and starts to lead if no gateway that stays does. Then it
   * releases the lease. */
  void Leave(Millis time);
  /** Whether this gateway leads a rollout that is not finished. */
  bool leading() const;
  /** Whether the lease was given up for good. */
  bool ended() const;

 private:
  struct Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace peridotgate::gateway

#endif  // GATEWAY_ROLLOUT_LEADER_H_
