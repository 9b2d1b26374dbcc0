// Tracks which prompt parts each KV cache store holds and whether the store is
// reachable. Fetching from a store that is down costs a request some hundred
// milliseconds.
#ifndef GATEWAY_CACHE_STORE_WATCH_H_
#define GATEWAY_CACHE_STORE_WATCH_H_

#include <functional>
#include <memory>

#include "gateway/fleet_view.h"
#include "gateway/load_balancer.h"
#include "gateway/protocol.h"
#include "runtime/duty.h"

namespace peridotgate::gateway {

/** Runs on the control thread. */
class CacheStoreWatch {
 public:
  /** Forwards an update; returns false if it could not be delivered. */
  using Publish = std::function<bool(CacheStoreUpdate)>;

  CacheStoreWatch(runtime::Duty& duty,
                  const ServerProtocol& protocol,
                  Publish publish);
  ~CacheStoreWatch();

  /** Watches exactly the stores that the rules name. */
  void OnView(const FleetView& view);

 private:
  struct Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace peridotgate::gateway

#endif  // GATEWAY_CACHE_STORE_WATCH_H_
