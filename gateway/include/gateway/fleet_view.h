// The last known rules, backend servers and target weights, passed between
// threads as one immutable snapshot.
#ifndef GATEWAY_FLEET_VIEW_H_
#define GATEWAY_FLEET_VIEW_H_

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "gateway/rules.h"
#include "runtime/settings_reader.h"

namespace peridotgate::gateway {

/** One incarnation of a backend server, from its own registration row. */
struct BackendServer {
  std::string id;
  std::string service;
  runtime::Endpoint address;
  std::string data_centre;
  int slots = 0;
  bool leaving = false;
  std::int64_t born_ms = 0;  // Start as Unix time; identifies the incarnation.
  // Grows with the row's changes within an incarnation.
  std::int64_t sequence = 0;
  std::map<std::string, std::int64_t> weights;  // Version by model.
  bool operator==(const BackendServer&) const = default;
};

using ServerMap = std::map<std::string, BackendServer>;

/** Target weights version by model, as last set by the operator. */
using WeightsTargets = std::map<std::string, std::int64_t>;

/** Progress of one server's rollout, as reported by the rollout leader. */
struct RolloutState {
  std::string model;
  std::int64_t version = 0;
  bool switching = false;  // No new requests are sent until the switch ends.
  bool operator==(const RolloutState&) const = default;
};

using RolloutMap = std::map<std::string, RolloutState>;

/** Snapshot that the control thread publishes to the traffic thread. */
struct FleetView {
  std::shared_ptr<const Rules> rules;  // Null until first read.
  std::shared_ptr<const ServerMap> servers;
  std::shared_ptr<const WeightsTargets> weights;
  std::shared_ptr<const RolloutMap> rollout;
  // The other gateways, which share the retry budgets; null until known.
  std::shared_ptr<const std::vector<runtime::Endpoint>> peers;
};

}  // namespace peridotgate::gateway

#endif  // GATEWAY_FLEET_VIEW_H_
