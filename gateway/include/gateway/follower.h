// Follows the store's tables and publishes each new view of the fleet.
#ifndef GATEWAY_FOLLOWER_H_
#define GATEWAY_FOLLOWER_H_

#include <functional>
#include <memory>

#include "coordination/clock.h"
#include "gateway/fleet_source.h"
#include "gateway/fleet_state.h"
#include "runtime/duty.h"
#include "runtime/metrics.h"

namespace peridotgate::gateway {

/** Runs on the control duty. */
class Follower {
 public:
  using Publish = std::function<void(const FleetView&)>;

  Follower(runtime::Duty& duty,
           const coordination::Clock& clock,
           Store& store,
           const FleetFormat& format,
           Publish publish,
           runtime::Metrics& metrics);
  ~Follower();

  /** Begins to follow. */
  void Start();

  /** The newest beliefs. */
  FleetState& state();
  /** Publishes the view if it has changed. */
  void PublishChanges();
  /** Whether the operator's table was followed without failure of late. */
  bool in_touch() const;

 private:
  struct Contents;
  std::shared_ptr<Contents> contents_;
};

}  // namespace peridotgate::gateway

#endif  // GATEWAY_FOLLOWER_H_
