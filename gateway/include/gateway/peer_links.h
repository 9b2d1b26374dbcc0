// What gateways tell each other directly: the progress of a roll-out as it
// happens, and the store's rows to those that do not read it.
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

/** Runs on the control duty. */
class PeerLinks {
 public:
  struct Handlers {
    std::function<void(const RolloutMap&)> on_rollout;
    // The gateways that are there now; at first the seeds.
    std::function<void(std::vector<PeerGateway>)> on_peers;
    std::function<asio::awaitable<wire::FeedCopy>(wire::FeedQuery)> on_query;
  };

  PeerLinks(runtime::Duty& duty,
            const coordination::Clock& clock,
            const GatewaySettings& settings,
            Store& store,
            runtime::Metrics& metrics);
  ~PeerLinks();

  /** Binds; false with `error` filled when the address can't be had. */
  bool Listen(std::string& error);
  void Start(Handlers handlers);
  /** Tells all peers, without waiting for them. */
  void Notify(const RolloutMap& progress);
  /** Asks a peer for rows that changed; nothing without an answer. */
  asio::awaitable<std::optional<wire::FeedCopy>> AskRows(runtime::Endpoint peer,
                                                         wire::FeedQuery query);

 private:
  struct Contents;
  std::shared_ptr<Contents> contents_;
};

}  // namespace peridotgate::gateway

#endif  // GATEWAY_PEER_LINKS_H_
