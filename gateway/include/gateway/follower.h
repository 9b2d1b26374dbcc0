// Follows the store's tables, by itself or through a peer that does, and
// publishes each new view of the fleet.
#ifndef GATEWAY_FOLLOWER_H_
#define GATEWAY_FOLLOWER_H_

#include <functional>
#include <memory>
#include <optional>
#include <vector>

#include "coordination/clock.h"
#include "gateway/feed_plan.h"
#include "gateway/fleet_source.h"
#include "gateway/fleet_state.h"
#include "gateway/settings.h"
#include "runtime/duty.h"
#include "runtime/metrics.h"
#include "wire_types.h"

namespace peridotgate::gateway {

/** Runs on the control duty. */
class Follower {
 public:
  using Publish = std::function<void(const FleetView&)>;
  /** Asks a peer for what changed; nothing without an answer. */
  using AskPeer = std::function<asio::awaitable<std::optional<wire::FeedCopy>>(
      runtime::Endpoint peer,
      wire::FeedQuery query)>;

  Follower(runtime::Duty& duty,
           const coordination::Clock& clock,
           const GatewaySettings& settings,
           Store& store,
           const FleetFormat& format,
           Publish publish,
           AskPeer ask,
           runtime::Metrics& metrics);
  ~Follower();

  /** Begins to follow. */
  void Start();

  /** The newest beliefs. */
  FleetState& state();
  /** Publishes the view if it has changed. */
  void PublishChanges();
  /** The other gateways that are there now, or seeds until they are known. */
  void OnPeers(std::vector<PeerGateway> peers);
  /** What changed after what a peer knows, once something has or its time is
   * up. */
  asio::awaitable<wire::FeedCopy> Answer(wire::FeedQuery query);

 private:
  struct Contents;
  std::shared_ptr<Contents> contents_;
};

}  // namespace peridotgate::gateway

#endif  // GATEWAY_FOLLOWER_H_
