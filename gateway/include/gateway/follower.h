// Follows the store's tables, directly or through a peer that reads them, and
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

/** Runs on the control thread. */
class Follower {
 public:
  using Publish = std::function<void(const FleetView&)>;
  /** Asks a peer for changed rows; returns nothing if it did not answer. */
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

  /** Starts following the tables. */
  void Start();

  /** The latest known state of the fleet. */
  FleetState& state();
  /** Publishes the view if it has changed. */
  void PublishChanges();
  /** Sets the live peer gateways, or the seeds until these are known. */
  void OnPeers(std::vector<PeerGateway> peers);
  /** Answers a peer's query with the rows that changed since the versions it
   * has. Waits for a change, up to the query's `wait_ms`. */
  asio::awaitable<wire::FeedCopy> Answer(wire::FeedQuery query);

 private:
  struct Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace peridotgate::gateway

#endif  // GATEWAY_FOLLOWER_H_
