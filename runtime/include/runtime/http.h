// HTTP/1.1 on top of Boost.Beast: a coroutine-based server and a client with
// keep-alive connections. Beast's error codes and exceptions are translated to
// `HttpError` here.
#ifndef RUNTIME_HTTP_H_
#define RUNTIME_HTTP_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

#include "coordination/result.h"
#include "runtime/metrics.h"
#include "runtime/settings_reader.h"

namespace peridotgate::runtime {

namespace asio = boost::asio;
namespace http = boost::beast::http;

using coordination::Result;
using HttpRequest = http::request<http::string_body>;
using HttpResponse = http::response<http::string_body>;

/** Why an HTTP exchange failed, and whether the server may have acted on it. */
enum class HttpError {
  kNotSent,        // No connection: the server received nothing.
  kTimeout,        // Sent, but no complete response in time: outcome unknown.
  kBroken,         // Sent, then the connection broke: outcome unknown.
  kMalformed,      // The response is not valid HTTP.
  kStoppedBySink,  // `HttpSink::OnData` returned false.
};

/** A short name for counters and logs. */
std::string_view Name(HttpError error);

/** Limits on requests and connections of a server. */
struct HttpLimits {
  std::size_t header_bytes = 16 << 10;
  std::size_t body_bytes = 16 << 20;
  std::chrono::milliseconds read_timeout{30000};
  std::chrono::milliseconds write_timeout{30000};
  std::size_t connections = 4096;
};

/** Sends the response to one request. */
class HttpExchange {
 public:
  virtual ~HttpExchange() = default;

  /** Sends a complete response. Returns false when the client disconnected. */
  virtual asio::awaitable<bool> Send(HttpResponse response) = 0;
  /** Starts a chunked response with the status and headers of `response`. */
  virtual asio::awaitable<bool> BeginStream(HttpResponse response) = 0;
  /** Sends one chunk of a chunked response. */
  virtual asio::awaitable<bool> Write(std::string_view data) = 0;
  /** Sends the last chunk, so that the client can detect truncation. */
  virtual asio::awaitable<bool> EndStream() = 0;
  /** Closes the connection without completing the response. */
  virtual void Abort() = 0;
};

/** Handles one request. Runs on the server's io_context. */
using HttpHandler =
    std::function<asio::awaitable<void>(HttpRequest, HttpExchange&)>;

/** Accepts connections and calls `handler` for each request. */
class HttpServer {
 public:
  HttpServer(asio::io_context& context,
             HttpLimits limits,
             HttpHandler handler,
             Metrics& metrics);
  ~HttpServer();

  /** Binds and listens. On failure returns false and sets `error`. */
  bool Listen(const Endpoint& endpoint, std::string& error);
  /** The bound port; useful when `endpoint` had port 0. */
  std::uint16_t port() const;
  /** Disables keep-alive: each connection closes after its next response. */
  void StopKeeping();
  /** Accepts what clients have connected, then closes the listening socket.
   * Requests in progress continue. */
  void StopAccepting();
  /** Number of requests in progress, also of those that have not been received
   * completely. Thread-safe. */
  std::size_t open_requests() const;

 private:
  struct Impl;
  std::shared_ptr<Impl> impl_;
};

/** Receives a response as it arrives. */
class HttpSink {
 public:
  virtual ~HttpSink() = default;
  virtual void OnHead(unsigned status, std::string_view content_type) = 0;
  /** Returning false aborts the exchange and closes the connection. */
  virtual asio::awaitable<bool> OnData(std::string_view data) = 0;
};

/** Whether an idle keep-alive connection may be reused. */
enum class Connection {
  kKept,   // May be stale: only for requests that are safe to send twice.
  kFresh,  // Always a new connection, so that `kNotSent` is reliable.
};

/** Time limits of an exchange whose response may be large: they bound the time
 * without progress rather than the time that the bytes take on a slow link. */
struct TransferLimits {
  std::chrono::milliseconds first_byte{};  // From the request.
  std::chrono::milliseconds idle{};        // Between bytes of the response.
  std::chrono::milliseconds total{};
};

/** Limits for a response that makes progress within each `timeout`. */
constexpr TransferLimits WithProgress(std::chrono::milliseconds timeout) {
  constexpr int kMaxTimeouts = 10;
  return {timeout, timeout, kMaxTimeouts * timeout};
}

/** The largest response body that `HttpClient::Fetch` returns by default. */
inline constexpr std::uint64_t kMaxResponseBytes = 64 << 20;

/** A client for one server. Not thread-safe: use on one io_context only. */
class HttpClient {
 public:
  /** A server that is not trusted needs a `max_response_bytes` of its own:
   * larger bodies are not read to their end. */
  HttpClient(asio::io_context& context,
             Endpoint server,
             std::uint64_t max_response_bytes = kMaxResponseBytes);
  ~HttpClient();

  /** Sends `request` and returns the complete response. */
  asio::awaitable<Result<HttpResponse, HttpError>> Fetch(
      HttpRequest request,
      std::chrono::milliseconds timeout,
      Connection connection = Connection::kKept);

  /** Does the same for a response that may be large. */
  asio::awaitable<Result<HttpResponse, HttpError>> Fetch(
      HttpRequest request,
      TransferLimits limits,
      Connection connection = Connection::kKept);

  /**
   * Sends `request` and streams the response to `sink`. `idle` limits the wait
   * for each read.
   */
  asio::awaitable<Result<void, HttpError>> Stream(
      HttpRequest request,
      HttpSink& sink,
      std::chrono::milliseconds idle,
      Connection connection = Connection::kFresh);

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

/** Builds a request with the common headers set. */
HttpRequest MakeRequest(http::verb method,
                        std::string_view target,
                        std::string body = "",
                        std::string_view content_type = "application/json");

/** Builds a response with the common headers set. */
HttpResponse MakeResponse(http::status status,
                          std::string body,
                          std::string_view content_type = "application/json");

}  // namespace peridotgate::runtime

#endif  // RUNTIME_HTTP_H_
