#include "caller_connection.h"

#include <optional>
#include <utility>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>

#include "exchange.h"
#include "runtime/event_log.h"

namespace peridotgate::gateway {
namespace {

using runtime::LogClass;
using runtime::LogEvent;
using Parser = http::request_parser<http::string_body>;

constexpr auto kNoThrow = asio::as_tuple(asio::use_awaitable);

// Size of the first read of a request.
constexpr std::size_t kReadBytes = 4 << 10;
// Time limit for receiving a body.
constexpr Millis kBodyTimeout{10000};
// Idle connections stay open this much longer than the idle timeout in the
// rules, so that a late request does not arrive at a closing connection.
constexpr Millis kIdleMargin{500};
// Time for the first bytes of a request on a connection that was accepted while
// the process stops.
constexpr Millis kLastRequestTimeout{250};

// The status for a request that could not be read; 0 if the connection ended
// properly.
unsigned StatusOf(const beast::error_code& ec, bool begun) {
  if (ec == http::error::header_limit) {
    return 431;
  }
  if (ec == http::error::body_limit) {
    return 413;
  }
  if (ec == beast::error::timeout) {
    return begun ? 408 : 0;
  }
  if (ec == http::error::end_of_stream || ec == http::error::partial_message) {
    return 0;
  }
  const bool malformed =
      ec.category() ==
      http::make_error_code(http::error::bad_version).category();
  return malformed ? 400 : 0;
}

asio::awaitable<void> SendStatus(CallerStream& caller, unsigned status) {
  ResponseHead head;
  head.result(status);
  head.reason(http::obsolete_reason(head.result()));
  co_await caller.Send(head, "", false, true);
  LogEvent("bad_request", LogClass::kNotable).Add("status", status);
}

bool HasPlainCoding(const RequestHead& head) {
  const auto coding = head[http::field::transfer_encoding];
  return coding.empty() || beast::iequals(coding, "chunked");
}

// A request as read from the connection.
struct ReadRequest {
  RequestHead head;
  std::string body;
  TimePoint began;
  bool keep = true;
};

// Waits for the first bytes of a request; returns false when the connection is
// over.
asio::awaitable<bool> WaitForRequest(CallerStream& caller,
                                     TrafficParts& parts,
                                     Millis idle_timeout) {
  if (caller.buf().size() > 0) {
    co_return true;
  }
  beast::tcp_stream& stream = caller.stream();
  stream.expires_after(parts.accepting ? idle_timeout + kIdleMargin
                                       : kLastRequestTimeout);
  parts.idle.insert(&caller);
  const auto space = caller.buf().prepare(kReadBytes);
  auto [ec, n] = co_await stream.async_read_some(space, kNoThrow);
  parts.idle.erase(&caller);
  if (ec == asio::error::operation_aborted) {
    // A stop ended the wait, but a request may have arrived.
    beast::error_code ignored;
    if (stream.socket().available(ignored) > 0) {
      n = stream.socket().read_some(space, ec);
    }
  }
  caller.buf().commit(n);
  co_return !ec;
}

// Reads the next request; returns nothing when the connection is over.
// Malformed requests have been answered by then.
asio::awaitable<std::optional<ReadRequest>> Read(CallerStream& caller,
                                                 TrafficParts& parts) {
  const CallerLimits limits =
      parts.view.rules ? parts.view.rules->limits() : CallerLimits{};
  Parser parser;
  parser.header_limit(static_cast<std::uint32_t>(limits.header_bytes));
  parser.body_limit(limits.body_bytes);
  beast::tcp_stream& stream = caller.stream();
  const bool begun =
      co_await WaitForRequest(caller, parts, limits.idle_timeout);
  if (!begun) {
    co_return std::nullopt;
  }
  ReadRequest request;
  request.began = parts.clock.Now();
  stream.expires_after(limits.header_timeout);
  auto [head_ec, head_n] =
      co_await http::async_read_header(stream, caller.buf(), parser, kNoThrow);
  if (head_ec) {
    const bool begun = parser.got_some() || caller.buf().size() > 0;
    const unsigned status = StatusOf(head_ec, begun);
    if (status != 0) {
      co_await SendStatus(caller, status);
    }
    co_return std::nullopt;
  }
  if (!HasPlainCoding(parser.get().base())) {
    co_await SendStatus(caller, 400);
    co_return std::nullopt;
  }
  if (!parser.is_done()) {
    if (parts.body_bytes > MaxBodyBytes(parts.settings)) {
      co_await SendStatus(caller, 503);
      co_return std::nullopt;
    }
    stream.expires_after(kBodyTimeout);
    if (beast::iequals(parser.get()[http::field::expect], "100-continue")) {
      constexpr std::string_view kContinue = "HTTP/1.1 100 Continue\r\n\r\n";
      (void)co_await asio::async_write(
          stream, asio::buffer(kContinue.data(), kContinue.size()), kNoThrow);
    }
    auto [ec, n] =
        co_await http::async_read(stream, caller.buf(), parser, kNoThrow);
    if (ec) {
      const unsigned status = StatusOf(ec, true);
      if (status != 0) {
        co_await SendStatus(caller, status);
      }
      co_return std::nullopt;
    }
  }
  stream.expires_never();
  request.keep = parser.get().keep_alive();
  request.body = std::move(parser.get().body());
  request.head = std::move(parser.get().base());
  co_return request;
}

}  // namespace

asio::awaitable<void> ServeCaller(std::shared_ptr<CallerStream> caller,
                                  TrafficParts& parts) {
  bool keep = true;
  while (keep) {
    auto request = co_await Read(*caller, parts);
    if (!request) {
      break;
    }
    ++parts.open_requests;
    const std::size_t bytes = request->body.size();
    parts.body_bytes += bytes;
    {
      Exchange exchange(parts, *caller, std::move(request->head),
                        std::move(request->body), request->began,
                        request->keep);
      keep = co_await exchange.Run() && parts.accepting;
    }
    parts.body_bytes -= bytes;
    --parts.open_requests;
  }
  if (!caller->aborted()) {
    beast::error_code ignored;
    caller->stream().socket().shutdown(asio::ip::tcp::socket::shutdown_send,
                                       ignored);
  }
}

}  // namespace peridotgate::gateway
