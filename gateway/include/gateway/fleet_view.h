// What the gateway believes of the rules, the backend servers and the weights
// that are in force; handed between duties as one immutable view.
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

/** One life of a backend server, as it registered itself. */
struct BackendServer {
  std::string id;
  std::string service;
  runtime::Endpoint address;
  std::string data_centre;
  int slots = 0;
  bool leaving = false;
  std::int64_t born_ms = 0;  // Unix time of its start; tells lives apart.
  std::map<std::string, std::int64_t> weights;  // Version by model.
  bool operator==(const BackendServer&) const = default;
};

using ServerMap = std::map<std::string, BackendServer>;

/** The weights version that the operator named last, by model. */
using WeightsTargets = std::map<std::string, std::int64_t>;

/** How far one server's roll-out is, as the order giver told it. */
struct RolloutState {
  std::string model;
  std::int64_t version = 0;
  bool switching = false;  // Takes no new request until it is done.
};

using RolloutMap = std::map<std::string, RolloutState>;

/** Control to traffic: the beliefs in force from now on. */
struct FleetView {
  std::shared_ptr<const Rules> rules;  // Null until the first is known.
  std::shared_ptr<const ServerMap> servers;
  std::shared_ptr<const WeightsTargets> weights;
  std::shared_ptr<const RolloutMap> rollout;
  // The other gateways, which share the budgets; null until known.
  std::shared_ptr<const std::vector<runtime::Endpoint>> peers;
};

}  // namespace peridotgate::gateway

#endif  // GATEWAY_FLEET_VIEW_H_
