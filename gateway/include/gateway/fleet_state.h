// Builds the fleet view from store rows, which may arrive in any order and
// repeatedly, and decides whether a missing row means that the server is gone.
// No I/O.
#ifndef GATEWAY_FLEET_STATE_H_
#define GATEWAY_FLEET_STATE_H_

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "coordination/clock.h"
#include "gateway/fleet_source.h"
#include "gateway/fleet_view.h"

namespace peridotgate::gateway {

using coordination::TimePoint;

/** A row that could not be used, and why. */
struct RowFault {
  std::string key;
  std::string reason;
};

/**
 * The latest known state of the fleet. Versions of rules and weights never go
 * back. A server whose row expired during a store outage is kept for a grace
 * period after the store's return.
 *
 *     state.OnServerRows(rows, true, now);
 *     if (state.TakeChanged()) { publish(state.view()); }
 */
class FleetState {
 public:
  explicit FleetState(const FleetFormat& format) : format_(format) {}

  /** Applies rows of the operator's table. */
  void OnOperatorRows(const StoredRows& rows, TimePoint now);
  /** Applies rows of the servers' table; `whole` if they are the full table. */
  void OnServerRows(const StoredRows& rows, bool whole, TimePoint now);
  /** Records that the store is unreachable. */
  void OnStoreLost() { store_lost_ = true; }
  /** Sets the live peer gateways, which share the retry budgets. */
  void OnPeers(std::vector<runtime::Endpoint> peers);
  /** Applies rollout progress reported by a rollout leader. */
  void OnRollout(const RolloutMap& reported, TimePoint now);
  /** Removes servers whose grace period has passed. */
  void Expire(TimePoint now);

  /** Returns whether the state changed since the last call, and rebuilds
   * `view()` if it did. */
  bool TakeChanged();
  /** Returns and clears the faults found in rows since the last call. */
  std::vector<RowFault> TakeFaults();

  const FleetView& view() const { return view_; }
  /** When the next grace period ends; `TimePoint::max()` if none is running. */
  TimePoint NextExpiry() const;

 private:
  struct Entry {
    BackendServer server;
    std::int64_t version = 0;
    // When a server that is not listed is removed.
    std::optional<TimePoint> missing_until;
  };

  void ApplyRules(std::string_view value);
  void Remove(const std::string& key, TimePoint until, TimePoint now);
  bool HasNamedWeights(const std::string& id, const std::string& model) const;

  const FleetFormat& format_;
  std::map<std::string, Entry> servers_;
  struct ReportedRollout {
    RolloutState state;
    TimePoint at{};
  };

  std::map<std::string, ReportedRollout> rollout_;
  WeightsTargets weights_;
  std::vector<RowFault> faults_;
  FleetView view_;
  bool store_lost_ = false;
  TimePoint rows_back_by_{};  // All live servers are listed again from then on.
  bool changed_ = false;
};

}  // namespace peridotgate::gateway

#endif  // GATEWAY_FLEET_STATE_H_
