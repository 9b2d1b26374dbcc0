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

/** How sure a connection must be. */
enum class Freshness {
  kAny,     // A break can be repaired by sending again.
  kRecent,  // Used within the last moments: the work may not be sent twice.
};

/** Keeps what `Put` hands back. Belongs to the traffic duty. */
class ConnectionPool {
 public:
  ConnectionPool(asio::io_context& context,
                 const coordination::Clock& clock,
                 const ServerProtocol& protocol)
      : context_(context), clock_(clock), protocol_(protocol) {}

  /** A kept connection to the server, or null. */
  std::shared_ptr<ServerConnection> TakeIdle(const std::string& server_id,
                                             Freshness freshness);
  /** A connection that is not yet connected. */
  std::shared_ptr<ServerConnection> Make();
  /** Keeps the connection if it is fit for another exchange. */
  void Put(const std::string& server_id,
           std::shared_ptr<ServerConnection> connection);
  /** Closes connections of servers that are gone, and stale ones. */
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
