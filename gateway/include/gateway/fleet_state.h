// Builds the view of the fleet from rows as they come, in whatever order and
// however often. Decides what a missing row means; does no I/O.
#ifndef GATEWAY_FLEET_STATE_H_
#define GATEWAY_FLEET_STATE_H_

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>

#include "coordination/clock.h"
#include "gateway/fleet_source.h"
#include "gateway/fleet_view.h"

namespace peridotgate::gateway {

using coordination::TimePoint;

/** Why a row was left out. */
struct RowFault {
  std::string key;
  std::string reason;
};

/**
 * The newest beliefs. Rules and weights only go forward; a server whose entry
 * lapsed while the store was away is kept for a grace.
 *
 *     state.OnServerRows(rows, true, now);
 *     if (state.TakeChanged(now)) { publish(state.view()); }
 */
class FleetState {
 public:
  explicit FleetState(const FleetFormat& format) : format_(format) {}

  /** Rows of the operator's table; `whole` when they are all there are. */
  void OnOperatorRows(const StoredRows& rows, TimePoint now);
  /** Rows of the servers' table. */
  void OnServerRows(const StoredRows& rows, bool whole, TimePoint now);
  /** The store could not be reached, or was not at `now`. */
  void OnStoreLost(TimePoint now) { store_lost_at_ = now; }
  /** The other gateways; all share the budgets. */
  void OnPeers(std::vector<runtime::Endpoint> peers);
  /** What an order giver told of servers' weights. */
  void OnRollout(const RolloutMap& told, TimePoint now);
  /** Forgets servers whose grace has passed. */
  void Expire(TimePoint now);

  /** Whether the view differs from the one taken last. */
  bool TakeChanged();
  /** What was wrong with rows since the last call. */
  std::vector<RowFault> TakeFaults();

  const FleetView& view() const { return view_; }
  /** When the next grace passes; the clock's end without one. */
  TimePoint NextExpiry() const;

 private:
  struct Entry {
    BackendServer server;
    std::int64_t version = 0;
    TimePoint missing_since{};  // The clock's origin while it is listed.
  };

  void TakeRules(std::string_view value);
  void Remove(const std::string& key, bool at_once, TimePoint now);
  bool HasNamedWeights(const std::string& id, const std::string& model) const;
  bool StoreWasLost(TimePoint now) const;

  const FleetFormat& format_;
  std::map<std::string, Entry> servers_;
  struct Told {
    RolloutState state;
    TimePoint at{};
  };

  std::map<std::string, Told> rollout_;
  WeightsTargets weights_;
  std::vector<RowFault> faults_;
  FleetView view_;
  TimePoint store_lost_at_{};
  bool changed_ = false;
};

}  // namespace peridotgate::gateway

#endif  // GATEWAY_FLEET_STATE_H_
