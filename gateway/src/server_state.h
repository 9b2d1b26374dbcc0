// What a gateway knows of one backend server: its own requests there, those
// that other gateways report, its last load report, its cached parts and
// weights.
#ifndef GATEWAY_SERVER_STATE_H_
#define GATEWAY_SERVER_STATE_H_

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "gateway/fleet_view.h"
#include "gateway/load_balancer.h"
#include "gateway/protocol.h"
#include "part_lru.h"
#include "routing/server_model.h"
#include "routing/server_standing.h"

namespace peridotgate::gateway {

// A server that has not reported the end of its switch to new weights is used
// again after this time.
inline constexpr std::chrono::milliseconds kSwitchTimeout{4000};
// Load reports older than this are ignored.
inline constexpr std::chrono::milliseconds kMaxLoadAge{1500};
// Usage reported by another gateway expires after this time. Gateways repeat
// usage that is still current within a third of it.
inline constexpr std::chrono::milliseconds kMaxPeerUsageAge{1800};
// Fraction of an engine's memory that running requests may take before new ones
// are assumed to wait for one to end. Beyond it, requests push out the cached
// parts that the next ones need, and each other.
inline constexpr double kRunningFraction = 0.6;
// Weight of a new prompt in the mean size of a server's prompts.
inline constexpr double kSizeWeight = 0.02;
// Sums over the peers' reports are built anew after this time, as reports
// expire.
inline constexpr std::chrono::milliseconds kPeerSumAge{100};

// Usage of a server that another gateway reported.
struct PeerUsage {
  int in_flight = 0;
  std::int64_t unread_tokens = 0;
  std::int64_t memory_tokens = 0;
  TimePoint at{};
};

// What is known of one incarnation of a backend server, and what follows from
// it for its load, memory and weights.
struct Server {
  BackendServer info;
  int in_flight = 0;
  // Prompt tokens to be computed of requests without a first response byte.
  std::int64_t unread_tokens = 0;
  std::int64_t memory_tokens = 0;  // Of requests in flight.
  ServerLoad load;
  TimePoint load_at{};
  int in_flight_at_load = 0;
  std::map<std::string, PeerUsage, std::less<>> peers;
  // Sum of `peers`, built anew at `peer_sum.at` and kept up to date since.
  mutable PeerUsage peer_sum;
  routing::ServerPace pace;
  int failures = 0;  // Consecutive.
  TimePoint ejected_until{};
  bool replaced = false;       // Another incarnation answers at the address.
  routing::Standing standing;  // By its own answers and other gateways.
  // Known weights version by model.
  std::map<std::string, std::int64_t> versions;
  std::optional<RolloutState> rollout;  // As last reported.
  std::optional<TimePoint> switching_since;
  PartLru parts;
  double transfer_ms_per_token = Engine{}.transfer_ms_per_token;
  double memory_limit = 0;  // In tokens; 0: unknown.
  // Mean size of the parts that requests do not share.
  double own_tokens = 0;
  // When fetches from this server that this gateway requested are expected to
  // end.
  TimePoint link_busy_until{};

  void RecordPrompt(double tokens) {
    own_tokens += (own_tokens == 0 ? 1 : kSizeWeight) * (tokens - own_tokens);
  }

  // Memory that running requests need beyond shared parts, by the gateways'
  // reports. An older gateway reports none.
  double MemoryInUse(TimePoint now) const {
    const PeerUsage& sum = PeerSum(now);
    const auto reported =
        static_cast<double>(memory_tokens + sum.memory_tokens);
    return std::max(reported, RequestCount(now) * own_tokens);
  }

  // Number of requests for which there is no memory, with one more.
  double RequestsOverMemory(double tokens, TimePoint now) const {
    if (memory_limit == 0 || own_tokens == 0) {
      return 0;
    }
    const double excess =
        MemoryInUse(now) + tokens - kRunningFraction * memory_limit;
    return std::max(0.0, excess / own_tokens);
  }
  bool Switching(TimePoint now) const {
    return switching_since && now - *switching_since < kSwitchTimeout;
  }

  // The version that the server's own answer shows, which may be older than the
  // known one. Another version invalidates the cached parts.
  void RecordVersion(const std::string& model, std::int64_t version) {
    std::int64_t& known = versions[model];
    if (known != 0 && version != known) {
      parts.Clear();
    }
    known = version;
  }

  // A version that someone else reports, or an earlier row of the server.
  void RaiseVersion(const std::string& model, std::int64_t version) {
    if (version > versions[model]) {
      RecordVersion(model, version);
    }
  }

  // What was reported before says nothing new: the server's answers may have
  // shown another version since.
  void Update(const BackendServer& registered) {
    for (const auto& [model, version] : registered.weights) {
      const auto before = info.weights.find(model);
      if (before == info.weights.end() || before->second != version) {
        RaiseVersion(model, version);
      }
    }
    info = registered;
  }

  void Update(const RolloutState& reported, TimePoint now) {
    const bool news = !rollout || rollout->model != reported.model ||
                      rollout->version != reported.version;
    if (news) {
      RaiseVersion(reported.model, reported.version);
    }
    rollout = reported;
    if (!reported.switching) {
      switching_since.reset();
    } else if (!switching_since) {
      switching_since = now;
    }
  }

  std::optional<std::int64_t> Version(std::string_view model) const {
    auto found = versions.find(std::string(model));
    if (found == versions.end()) {
      return std::nullopt;
    }
    return found->second;
  }

  const PeerUsage& PeerSum(TimePoint now) const {
    if (now - peer_sum.at > kPeerSumAge || peer_sum.at == TimePoint{}) {
      peer_sum = {};
      peer_sum.at = now;
      for (const auto& [peer, use] : peers) {
        if (now - use.at <= kMaxPeerUsageAge) {
          AddToSum(use, 1);
        }
      }
    }
    return peer_sum;
  }

  void AddToSum(const PeerUsage& use, int sign) const {
    peer_sum.in_flight += sign * use.in_flight;
    peer_sum.unread_tokens += sign * use.unread_tokens;
    peer_sum.memory_tokens += sign * use.memory_tokens;
  }

  void SetPeerUsage(std::string_view peer, const PeerUsage& use) {
    auto found = peers.find(peer);
    if (found == peers.end()) {
      found = peers.emplace(std::string(peer), PeerUsage{}).first;
    }
    (void)PeerSum(use.at);
    if (use.at - found->second.at <= kMaxPeerUsageAge) {
      AddToSum(found->second, -1);
    }
    found->second = use;
    AddToSum(use, 1);
  }

  // Estimated requests at the server now: those that the gateways know of, or
  // those in its last load report plus those sent since, if that is more.
  double RequestCount(TimePoint now) const {
    const int reported = in_flight + PeerSum(now).in_flight;
    if (load_at == TimePoint{} || now - load_at > kMaxLoadAge) {
      return reported;
    }
    const int since = in_flight - in_flight_at_load;
    return std::max<double>(reported, load.running + load.waiting + since);
  }

  // Prompt tokens that all gateways sent and that the server has not processed
  // yet.
  std::int64_t UnreadTokens(TimePoint now) const {
    return unread_tokens + PeerSum(now).unread_tokens;
  }

  double Slowness(TimePoint now) const {
    return now - load_at > kMaxLoadAge ? 1 : std::max(load.slowness, 0.1);
  }
};

}  // namespace peridotgate::gateway

#endif  // GATEWAY_SERVER_STATE_H_
