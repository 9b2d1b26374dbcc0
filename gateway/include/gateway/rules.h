// The operator's rules as the gateway applies them: routes, services,
// organisations and limits, with one growing version.
#ifndef GATEWAY_RULES_H_
#define GATEWAY_RULES_H_

#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "runtime/settings_reader.h"

namespace peridotgate::gateway {

using Millis = std::chrono::milliseconds;

/** A service that takes part of a route's requests, by relative weight. */
struct ServiceShare {
  std::string service;
  double weight = 1;
};

/** Target services and permitted handling of requests with one host and path
 * prefix. */
struct Route {
  std::string name;
  std::string host;
  std::string prefix;  // Begins and ends with a slash.
  std::vector<ServiceShare> shares;
  bool streamed = false;
  bool idempotent = false;  // A safe method, or a stream that may be resumed.
  bool resumable = false;
  bool open = false;  // Needs no API key.
  bool keeps_prefix = false;
  int attempts = 1;  // Max. backend servers that may run one request.
  int priority = 5;  // 0 is the most urgent.
  Millis timeout{0};
  Millis objective{0};
  // Callers leave after this time without an event; 0: they wait for the end.
  Millis caller_patience{0};
};

/** Capacity of a service's model engines. */
struct Engine {
  int slots = 0;
  std::int64_t kv_tokens = 0;
  // Copying the cache of one token from engine to engine; the default is that
  // of a 130 Gbit/s link and tokens of 18 KB.
  double transfer_ms_per_token = 0.0012;
};

/** A group of backend servers that do the same work. */
struct Service {
  std::string name;
  int max_connections = 0;  // Per backend server, from all callers.
  std::optional<Engine> engine;
  // Set for a KV cache store, which is never a routing target.
  std::optional<runtime::Endpoint> cache_store;
};

/** How much an organisation may request, over all gateways. */
struct Quota {
  double rate_per_s = 0;
  double burst = 0;
  // Whether units are tokens, prompt and largest output together, rather than
  // requests.
  bool in_tokens = false;
  double plain_tokens = 0;  // Cost of a request that states no tokens.
};

/** A customer and how its requests are treated. */
struct Organisation {
  std::string name;
  std::vector<std::string> keys;
  std::optional<int> priority;      // Overrides the priority of the route.
  bool dedicated = false;           // Shares no cached parts with others.
  std::optional<Quota> quota = {};  // None: unlimited.
};

/** Limits on what callers send. */
struct CallerLimits {
  std::size_t header_bytes = 16384;
  std::size_t body_bytes = 4 << 20;
  Millis header_timeout{3000};
  Millis idle_timeout{15000};
};

/** The rules as the operator writes them, before indexing. */
struct RulesText {
  std::int64_t version = 0;
  std::vector<Route> routes;
  std::vector<Service> services;
  std::vector<Organisation> organisations;
  CallerLimits limits;
};

/**
 * One immutable, indexed version of the rules.
 *
 *     const Route* route = rules.FindRoute("a.example", "/chat/1?x=2");
 */
class Rules {
 public:
  explicit Rules(RulesText text);

  std::int64_t version() const { return text_.version; }
  const CallerLimits& limits() const { return text_.limits; }
  /** Whether requests need an API key at all. */
  bool has_organisations() const { return !text_.organisations.empty(); }
  const std::vector<Service>& services() const { return text_.services; }

  /** The route with the longest prefix that matches the path, or null. */
  const Route* FindRoute(std::string_view host, std::string_view target) const;
  /** The organisation that owns `key`, or null. */
  const Organisation* FindKey(const std::string& key) const;
  const std::vector<Organisation>& organisations() const {
    return text_.organisations;
  }
  /** The organisation of that name, or null. */
  const Organisation* FindOrganisation(std::string_view name) const;
  /**
   * The scope within which the cached parts of a prompt may be reused, for
   * requests of the organisation with that name, or of none if it is empty. An
   * organisation that is dedicated, or that these rules do not name, has a
   * scope of its own. The others share one, which differs for each set of
   * dedicated organisations, so that no part in it was ever made by one of
   * these.
   */
  std::string CacheScope(std::string_view organisation) const;
  /** The service of that name, or null. */
  const Service* FindService(std::string_view name) const;

 private:
  RulesText text_;
  std::unordered_map<std::string, std::vector<const Route*>> by_host_;
  std::unordered_map<std::string, const Organisation*> by_key_;
  std::unordered_map<std::string_view, const Organisation*> by_name_;
  std::string shared_scope_;  // Empty if no organisation is dedicated.
};

/** The cache stores that the rules name; empty if `rules` is null. */
std::vector<runtime::Endpoint> CacheStores(const Rules* rules);

/** Picks a service of the route by weight, always the same one for the same
 * request id; null without any. */
const std::string* ChooseService(const Route& route, std::string_view request);

}  // namespace peridotgate::gateway

#endif  // GATEWAY_RULES_H_
