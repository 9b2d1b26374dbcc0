// Builds the fleet view from store rows, which may arrive in any order and
// repeatedly, and decides whether a missing row means that the server is gone.
// No I/O.
#ifndef GATEWAY_FLEET_STATE_H_
#define GATEWAY_FLEET_STATE_H_

#include <compare>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <tuple>

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
 * After a restore of the store from a backup, servers write their rows again.
 * Until then the backup may hold rows that were changed or removed since, or
 * lack some. For a grace period, a row that is older than the known one by the
 * server's own order, or not newer than one that was removed, is held back, and
 * a server without a row is kept. Then the store's rows count.
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
    StoreVersion version;
    // When a server that is not listed is removed.
    std::optional<TimePoint> missing_until;
  };

  // A server's own order of its rows, which a restore does not change. It does
  // not come back once it is leaving.
  struct Revision {
    std::int64_t born_ms = 0;
    std::int64_t sequence = 0;
    bool leaving = false;
    std::strong_ordering operator<=>(const Revision& other) const {
      return std::tie(born_ms, sequence, leaving) <=>
             std::tie(other.born_ms, other.sequence, other.leaving);
    }
  };
  struct Departed {
    Revision revision;
    StoreVersion version;
  };
  struct HeldBackRow {
    BackendServer server;
    StoreVersion version;
  };

  static Revision RevisionOf(const BackendServer& server) {
    return {server.born_ms, server.sequence, server.leaving};
  }

  void ApplyRules(std::string_view value);
  void ApplyServer(const std::string& key,
                   BackendServer server,
                   const StoreVersion& version);
  bool IsOutdated(const std::string& key,
                  const BackendServer& server,
                  const StoreVersion& version,
                  bool whole) const;
  void RecordDeparture(const std::string& key, const Entry& entry);
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
  std::int64_t era_ = 0;      // Of the servers' rows.
  TimePoint rewritten_by_{};  // Servers have written their rows again by then.
  std::map<std::string, Departed> departed_;  // Servers that were removed.
  std::map<std::string, HeldBackRow> held_back_;
  bool changed_ = false;
};

}  // namespace peridotgate::gateway

#endif  // GATEWAY_FLEET_STATE_H_
