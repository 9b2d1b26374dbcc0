// Tracks the last known state of each backend server and places requests on
// servers. Time and events are passed in as arguments; no I/O.
#ifndef GATEWAY_LOAD_BALANCER_H_
#define GATEWAY_LOAD_BALANCER_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "coordination/clock.h"
#include "gateway/fleet_view.h"
#include "gateway/protocol.h"
#include "routing/server_limits.h"
#include "routing/server_model.h"
#include "routing/server_standing.h"

namespace peridotgate::gateway {

using coordination::TimePoint;

/** What a request requires of the server that it is placed on. */
struct PlacementRequest {
  std::string_view service;
  std::string_view model;  // Empty for plain services.
  std::span<const PromptPart> prompt;
  std::string_view cache_scope;  // Parts are shared within this scope only.
  std::string_view data_centre;  // This gateway's; preferred at equal cost.
  std::span<const std::string> avoided;  // Servers already tried.
  std::int64_t output_tokens = 0;        // Expected.
};

/** The chosen server, and where it should fetch and save cached parts. */
struct Placement {
  std::string server_id;
  std::int64_t born_ms = 0;
  runtime::Endpoint address;
  std::string model;  // Empty for plain services.
  std::optional<std::int64_t> weights_version;
  double cost_ms = 0;  // Predicted time to the first byte.
  // What stands before the first byte, if nothing else delays the request.
  routing::PrefillWork work;
  // A place and memory are free now, as far as is known.
  bool fits = true;
  // Memory that the request needs beyond the parts that it shares.
  std::int64_t memory_tokens = 0;
  std::int64_t tokens_missing = 0;  // Prompt tokens to be computed there.
  // Holds more of the prompt in its cache.
  std::optional<runtime::Endpoint> fetch_from;
  // The server at `fetch_from`; empty for a cache store.
  std::string fetch_server_id;
  std::int64_t fetch_tokens = 0;  // Tokens to fetch.
  // Store that should keep the prompt too.
  std::optional<runtime::Endpoint> save_to;
  std::string saved_prefix_key;  // Key that records that the prompt was saved.
};

/** Whether servers may be chosen that failed several times in a row. */
enum class EjectedServers { kIfNoOther, kNever };

/** How an attempt at one server ended, as evidence of the server's health. */
enum class AttemptOutcome {
  kServed,
  kRefused,  // Reliably not run: server full, or another incarnation.
  kFailed,   // Server error, or the connection broke.
  kUnreachable,
  kNeutral,  // Ended by the caller or by a short deadline.
};

/** The requests that one gateway has at one server. */
struct ServerUsage {
  std::string server_id;
  int in_flight = 0;
  // In prompts without a first response byte yet.
  std::int64_t unread_tokens = 0;
  // Memory that they need beyond the parts that they share.
  std::int64_t memory_tokens = 0;
  bool operator==(const ServerUsage&) const = default;
};

/** A prompt that was sent to a server, as the hashes of its parts in order. */
struct SentPrompt {
  std::string server_id;
  std::vector<std::uint64_t> parts;
  std::vector<std::int32_t> tokens;
};

/** A change in the state or contents of one cache store. */
struct CacheStoreUpdate {
  runtime::Endpoint store;
  bool reachable = false;
  bool emptied = false;  // Its contents were lost before these events.
  std::vector<CacheEvent> events;
};

/** Room at servers that all name limits. */
struct LimitedRoom {
  TimePoint at{};            // The earliest at any of them.
  double per_s = 0;          // Requests a second, of all of them.
  std::size_t gateways = 1;  // That share it.
};

/** State of one server, for operators. */
struct ServerStatus {
  std::string id;
  std::string service;
  int in_flight = 0;
  bool leaving = false;
  bool ejected = false;
};

/**
 * Places requests by the last known state of each server. Runs on the traffic
 * thread.
 *
 *     auto placement = balancer.Place(request, now);
 *     if (placement) { balancer.OnDispatch(*placement, request, now); ... }
 */
class LoadBalancer {
 public:
  /** Servers with old weights are not used once newer weights have been the
   * target for `old_weights_limit`. */
  explicit LoadBalancer(
      Millis old_weights_limit = std::chrono::milliseconds(8500),
      std::uint64_t seed = 0);
  ~LoadBalancer();

  /** Applies a new fleet view; load figures of servers that stay are kept. */
  void OnView(const FleetView& view, TimePoint now);

  /** One of the usable servers whose predicted time is the lowest as far as is
   * known, or nothing if there is none. */
  std::optional<Placement> Place(
      const PlacementRequest& need,
      TimePoint now,
      EjectedServers ejected = EjectedServers::kIfNoOther) const;

  /** Whether the service has any usable server. */
  bool HasServer(std::string_view service, TimePoint now) const;

  /** Whether this incarnation of the server accepts new requests now. */
  bool IsUsable(std::string_view server_id,
                std::int64_t born_ms,
                TimePoint now) const;

  /** When the first pause of a server of the service ends; nothing if one of
   * them wants none. */
  std::optional<TimePoint> AllPausedUntil(std::string_view service,
                                          TimePoint now) const;

  /** Room at the service's servers, without those in `avoided`; nothing if one
   * of them names no limit. */
  std::optional<LimitedRoom> FindLimitedRoom(
      std::string_view service,
      std::span<const std::string> avoided,
      TimePoint now) const;

  /** Estimated time until a server of the service has a free slot. */
  Millis EstimateRetryAfter(std::string_view service) const;

  void OnDispatch(const Placement& placement,
                  const PlacementRequest& need,
                  TimePoint now);
  void OnResponseHead(const Placement& placement,
                      const ServerHead& head,
                      TimePoint now);
  /** The first byte of the response body arrived, so the prompt was processed,
   * `took` after it was sent; nothing if it was not. */
  void OnFirstByte(const Placement& placement,
                   std::optional<coordination::Duration> took = {});
  void OnEnd(const Placement& placement, AttemptOutcome outcome, TimePoint now);

  /** The requests that this gateway has at each server that it currently uses.
   * */
  std::vector<ServerUsage> LocalUsage() const;
  /** Returns and clears the prompts sent since the last call. */
  std::vector<SentPrompt> TakeSentPrompts();
  /** Records prompts that another gateway sent. */
  void OnPeerPrompts(std::span<const SentPrompt> prompts, TimePoint now);
  /** Records the requests that another gateway has at servers: `whole` if they
   * replace its earlier reports, else only what changed since. */
  void OnPeerUsage(std::string_view peer,
                   std::span<const ServerUsage> uses,
                   bool whole,
                   TimePoint now);

  /** Applies what a server said in an answer; returns whether that is new. */
  bool OnNotice(const routing::ServerNotice& notice, TimePoint now);
  /** Other gateways were told that these servers are leaving. Returns those of
   * which that was not known. */
  std::vector<routing::Incarnation> OnPeerLeaving(
      std::span<const routing::Incarnation> leaving);
  /** Servers that said to this gateway that they are leaving: those that did
   * since the last call and, if `whole`, some of the others in turn. */
  std::vector<routing::Incarnation> TakeLeaving(bool whole);

  /** The limits that servers name. */
  routing::ServerLimits& limits();

  void OnCacheStore(const CacheStoreUpdate& news);

  /** The server rejected a request because its weights have another version. */
  void OnVersionMismatch(std::string_view server_id,
                         std::string_view model,
                         std::optional<std::int64_t> version);

  /** Another process answers at the server's address; the server is not used
   * again. */
  void OnIncarnationMismatch(std::string_view server_id);

  std::vector<ServerStatus> Status(TimePoint now) const;

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace peridotgate::gateway

#endif  // GATEWAY_LOAD_BALANCER_H_
