// Direct connections between gateways: rollout progress as it happens, and
// store rows for gateways that do not read the store.
#ifndef GATEWAY_PEER_LINKS_H_
#define GATEWAY_PEER_LINKS_H_

#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "coordination/clock.h"
#include "gateway/feed_plan.h"
#include "gateway/fleet_source.h"
#include "gateway/fleet_view.h"
#include "gateway/settings.h"
#include "runtime/duty.h"
#include "runtime/metrics.h"
#include "wire_types.h"

namespace peridotgate::gateway {

/** Runs on the control thread. */
class PeerLinks {
 public:
  struct Handlers {
    std::function<void(const RolloutMap&)> on_rollout;
    // The live gateways; initially the seeds.
    std::function<void(std::vector<PeerGateway>)> on_peers;
    std::function<asio::awaitable<wire::FeedCopy>(wire::FeedQuery)> on_query;
  };

  PeerLinks(runtime::Duty& duty,
            const coordination::Clock& clock,
            const GatewaySettings& settings,
            Store& store,
            runtime::Metrics& metrics);
  ~PeerLinks();

  /** Binds the listening socket; returns false and sets `error` on failure. */
  bool Listen(std::string& error);
  void Start(Handlers handlers);
  /** Sends progress to all peers without waiting for them. */
  void BroadcastProgress(const RolloutMap& progress);
  /** Asks a peer for changed rows; returns nothing if it did not answer. */
  asio::awaitable<std::optional<wire::FeedCopy>> FetchRows(
      runtime::Endpoint peer,
      wire::FeedQuery query);

 private:
  struct Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace peridotgate::gateway

#endif  // GATEWAY_PEER_LINKS_H_
