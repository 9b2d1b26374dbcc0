// Idle connections to backend servers, by incarnation.
#ifndef GATEWAY_CONNECTION_POOL_H_
#define GATEWAY_CONNECTION_POOL_H_

#include <deque>
#include <memory>
#include <string>
#include <unordered_map>

#include <boost/asio/io_context.hpp>

#include "coordination/clock.h"
#include "gateway/fleet_view.h"
#include "gateway/protocol.h"
#include "server_connection.h"

namespace peridotgate::gateway {

/** How recently a connection must have been used. */
enum class Freshness {
  kAny,     // A broken connection can be retried.
  kRecent,  // Recent use only: the request may not be sent twice.
};

/** Pools idle connections. Used on the traffic thread. */
class ConnectionPool {
 public:
  ConnectionPool(asio::io_context& context,
                 const coordination::Clock& clock,
                 const ServerProtocol& protocol)
      : context_(context), clock_(clock), protocol_(protocol) {}

  /** An idle connection to the server, or null. */
  std::shared_ptr<ServerConnection> TakeIdle(const std::string& server_id,
                                             Freshness freshness);
  /** A new connection that is not connected yet. */
  std::shared_ptr<ServerConnection> Make();
  /** Keeps the connection if it can be reused. */
  void Put(const std::string& server_id,
           std::shared_ptr<ServerConnection> connection);
  /** Closes the idle connections to the server. */
  void Drop(const std::string& server_id) { idle_.erase(server_id); }
  /** Closes stale connections and those of removed servers. */
  void Prune(const ServerMap& servers);

  std::size_t idle() const;

 private:
  asio::io_context& context_;
  const coordination::Clock& clock_;
  const ServerProtocol& protocol_;
  std::unordered_map<std::string, std::deque<std::shared_ptr<ServerConnection>>>
      idle_;
};

}  // namespace peridotgate::gateway

#endif  // GATEWAY_CONNECTION_POOL_H_
