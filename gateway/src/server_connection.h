// Persistent connections to backend servers, with one exchange at a time each.
// Responses that do not belong to the current request are discarded.
#ifndef GATEWAY_SERVER_CONNECTION_H_
#define GATEWAY_SERVER_CONNECTION_H_

#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include "buffer_account.h"
#include "coordination/clock.h"
#include "gateway/protocol.h"
#include "runtime/settings_reader.h"

namespace peridotgate::gateway {

/** Why an exchange with a backend server failed. */
enum class ServerError {
  kNotSent,    // No connection; nothing reached the server.
  kTimeout,    // Sent; no complete response in time.
  kBroken,     // Sent; the connection broke.
  kMalformed,  // Sent; the response is malformed or too large.
  kCancelled,  // The caller is gone.
};

/** The name used for the error in metrics and logs. */
std::string_view Name(ServerError error);

/** A part of a response body. */
struct BodyPiece {
  std::string bytes;
  bool last = false;  // The body is complete with this piece.
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

  /** Starts sending; the response may be read before all is sent. Holds
   * `body` until then. */
  void Send(std::string head, std::shared_ptr<const HeldBody> body);

  /** Called with the head of each response, also those to earlier requests. */
  using OnHead = std::function<void(const ResponseHead&)>;

  /** Reads the response head for the request `request_id`. */
  asio::awaitable<Result<ResponseHead, ServerError>> ReadHead(
      std::string_view request_id,
      bool head_request,
      TimePoint deadline,
      const OnHead& on_head);

  /** Reads the next piece of the body, as soon as some bytes are available. */
  asio::awaitable<Result<BodyPiece, ServerError>> ReadPiece(TimePoint deadline);

  /** Cancels all pending operations, which fail with `why`, and closes. Safe to
   * call at any time. */
  void Cancel(ServerError why = ServerError::kCancelled);

  /** Whether the connection can be reused after the exchange. */
  bool reusable() const;
  /** Whether it was idle for too long, is closed, or has unexpected bytes. */
  bool stale(TimePoint now) const;
  void set_idle_since(TimePoint now);
  /** How long the server keeps an idle connection, minus a margin. */
  Millis idle_limit() const;
  TimePoint idle_since() const;

 private:
  struct Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace peridotgate::gateway

#endif  // GATEWAY_SERVER_CONNECTION_H_
