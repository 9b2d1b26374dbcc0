// What gateways tell each other directly: the progress of a roll-out as it
// happens, and the rules to one that the store turns away.
#ifndef GATEWAY_PEER_LINKS_H_
#define GATEWAY_PEER_LINKS_H_

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "coordination/clock.h"
#include "gateway/fleet_source.h"
#include "gateway/fleet_state.h"
#include "gateway/fleet_view.h"
#include "gateway/settings.h"
#include "runtime/duty.h"
#include "runtime/metrics.h"

namespace peridotgate::gateway {

/** Runs on the control duty. */
class PeerLinks {
 public:
  struct Handlers {
    std::function<void(const RolloutMap&)> on_rollout;
    std::function<void(std::string_view)> on_rules;
    std::function<void(std::vector<runtime::Endpoint>)> on_peers;
    std::function<bool()> wants_rules;  // The store can't be asked.
    std::function<const FleetState&()> rules;
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

 private:
  struct Contents;
  std::shared_ptr<Contents> contents_;
};

}  // namespace peridotgate::gateway

#endif  // GATEWAY_PEER_LINKS_H_
