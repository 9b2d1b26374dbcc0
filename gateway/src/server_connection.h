// Kept connections to backend servers: one exchange at a time each, with
// everything that does not belong to the request at hand thrown away.
#ifndef GATEWAY_SERVER_CONNECTION_H_
#define GATEWAY_SERVER_CONNECTION_H_

#include <chrono>
#include <memory>
#include <string>
#include <string_view>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include "coordination/clock.h"
#include "gateway/protocol.h"
#include "runtime/settings_reader.h"

namespace peridotgate::gateway {

using coordination::TimePoint;

/** Why an exchange with a backend server has no answer. */
enum class ServerError {
  kNotSent,    // No connection: the server saw nothing.
  kTimeout,    // Sent; no whole answer in time.
  kBroken,     // Sent; the connection broke.
  kMalformed,  // Sent; what came is no answer, or too large.
  kCancelled,  // The caller is gone.
};

/** A short name for counters and logs. */
std::string_view Name(ServerError error);

/** A piece of an answer's body. */
struct BodyPiece {
  std::string bytes;
  bool last = false;  // The body is whole with this piece.
};

/** One TCP connection to a backend server. Belongs to one io_context. */
class ServerConnection {
 public:
  ServerConnection(asio::io_context& context,
                   const coordination::Clock& clock,
                   const ServerProtocol& protocol);
  ~ServerConnection();

  /** Connects within `timeout`. */
  asio::awaitable<Result<void, ServerError>> Connect(
      const runtime::Endpoint& server,
      Millis timeout);

  /** Begins to send; the answer may be read before all has left. */
  void Send(std::string head, std::string_view body);

  /** The head of the answer to the request `request_id`. */
  asio::awaitable<Result<ResponseHead, ServerError>>
  ReadHead(std::string_view request_id, bool head_request, TimePoint deadline);

  /** The next piece of the body, as soon as some bytes are there. */
  asio::awaitable<Result<BodyPiece, ServerError>> ReadPiece(TimePoint deadline);

  /** Ends all waiting operations and closes. Safe to call at any time. */
  void Cancel();

  /** Whether the exchange left the connection fit for another. */
  bool reusable() const;
  /** Whether it was kept idle too long, closed, or has bytes nobody asked for.
   */
  bool stale(TimePoint now) const;
  void set_idle_since(TimePoint now);
  /** How long the server keeps an idle connection, less a margin. */
  Millis idle_limit() const;
  TimePoint idle_since() const;

 private:
  struct Contents;
  std::shared_ptr<Contents> contents_;
};

}  // namespace peridotgate::gateway

#endif  // GATEWAY_SERVER_CONNECTION_H_
