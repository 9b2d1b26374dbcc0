// Follows what the store of kept KV cache holds, and whether it answers: a
// fetch from a store that is down costs a request some hundred milliseconds.
#ifndef GATEWAY_CACHE_STORE_WATCH_H_
#define GATEWAY_CACHE_STORE_WATCH_H_

#include <functional>
#include <memory>

#include "gateway/fleet_view.h"
#include "gateway/protocol.h"
#include "gateway/server_book.h"
#include "runtime/duty.h"

namespace peridotgate::gateway {

/** Runs on the control duty. */
class CacheStoreWatch {
 public:
  /** Hands news on; false when they were not taken. */
  using Publish = std::function<bool(CacheStoreNews)>;

  CacheStoreWatch(runtime::Duty& duty,
                  const ServerProtocol& protocol,
                  Publish publish);
  ~CacheStoreWatch();

  /** Watches the stores that the rules name, and no others. */
  void OnView(const FleetView& view);

 private:
  struct Contents;
  std::shared_ptr<Contents> contents_;
};

}  // namespace peridotgate::gateway

#endif  // GATEWAY_CACHE_STORE_WATCH_H_
