// Exchanges with other gateways how many requests each has at the backend
// servers, what each charged to the quotas of organisations, and what each
// knows of servers that crashed. Without it, gateways that prefer the same
// server for a prefix would not see each other's load there, and each would
// have to lose servers to the same requests.
#ifndef GATEWAY_USAGE_EXCHANGE_H_
#define GATEWAY_USAGE_EXCHANGE_H_

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>

#include "coordination/clock.h"
#include "coordination/quota.h"
#include "crash_watch.h"
#include "gateway/load_balancer.h"
#include "runtime/settings_reader.h"

namespace peridotgate::gateway {

/** Exchanges datagrams with the peers. Used on the traffic thread. */
class UsageExchange {
 public:
  UsageExchange(boost::asio::io_context& context,
                const coordination::Clock& clock,
                LoadBalancer& balancer,
                CrashWatch& crashes,
                coordination::QuotaLedger& quotas,
                runtime::Endpoint own);
  ~UsageExchange();

  /** Binds the socket; returns false and sets `error` on failure. */
  bool Listen(std::string& error);
  void SetPeers(const std::vector<runtime::Endpoint>& peers);
  /** `notify` is called after each notice of a peer. */
  void SetOnNotice(std::function<void()> notify);
  /** This gateway's usage or facts changed; they are broadcast within a few
   * milliseconds. */
  void OnChange();

 private:
  struct Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace peridotgate::gateway

#endif  // GATEWAY_USAGE_EXCHANGE_H_
