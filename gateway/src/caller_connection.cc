#include "caller_connection.h"

#include <algorithm>
#include <optional>
#include <utility>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>

#include "buffer_account.h"
#include "exchange.h"
#include "runtime/body_reader.h"
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
// How long and how much is read after a refusal, so that the client gets it
// before the connection is reset.
constexpr Millis kLingerTimeout{1000};
constexpr std::size_t kMaxLingerBytes = 4 << 20;
// Time for the first bytes of a request on a connection that was accepted while
// the process stops.
constexpr Millis kLastRequestTimeout{250};

// The status for a request that could not be read; 0 if the connection ended
// properly.
unsigned StatusOf(const beast::error_code& ec, bool begun) {
  // Trailers or the extension of a chunk don't fit into the buffer.
  if (ec == http::error::header_limit || ec == http::error::buffer_overflow) {
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

std::string_view ReasonOf(unsigned status) {
  switch (status) {
    case 408:
      return "timeout";
    case 413:
      return "body_too_large";
    case 431:
      return "header_too_large";
    default:
      return "malformed";
  }
}

// Sends the status and ends the connection.
asio::awaitable<void> SendStatus(CallerStream& caller,
                                 TrafficParts& parts,
                                 unsigned status,
                                 std::string_view reason) {
  LogEvent("bad_request", LogClass::kNotable)
      .Add("status", status)
      .Add("reason", reason);
  parts.metrics
      .GetCounter("peridotgate_gateway_client_refusals_total",
                  {{"reason", reason}})
      .Add();
  ResponseHead head;
  head.result(status);
  head.reason(http::obsolete_reason(head.result()));
  const bool sent = co_await caller.Send(head, "", false, true);
  if (!sent) {
    co_return;
  }
  // Closing a connection with unread bytes resets it, and the client may lose
  // the response.
  beast::tcp_stream& stream = caller.stream();
  beast::error_code ec;
  stream.socket().shutdown(asio::ip::tcp::socket::shutdown_send, ec);
  caller.buf().consume(caller.buf().size());
  const TimePoint end = parts.clock.Now() + kLingerTimeout;
  stream.expires_after(kLingerTimeout);
  std::size_t discarded = 0;
  while (!ec && discarded < kMaxLingerBytes && parts.clock.Now() < end) {
    const auto [failed, n] = co_await stream.async_read_some(
        caller.buf().prepare(kReadBytes), kNoThrow);
    ec = failed;
    discarded += n;
  }
}

// Reads the rest of the body into the parser; returns its share of the memory,
// or nothing after the request was refused.
asio::awaitable<std::optional<BufferShare>> ReadBody(CallerStream& caller,
                                                     TrafficParts& parts,
                                                     Parser& parser) {
  beast::tcp_stream& stream = caller.stream();
  const auto announced = parser.content_length();
  if (!parts.buffers->MakeRoom(announced.value_or(kReadBytes),
                               parts.clock.Now())) {
    co_await SendStatus(caller, parts, 503, "no_memory");
    co_return std::nullopt;
  }
  const TimePoint deadline = parts.clock.Now() + kBodyTimeout;
  stream.expires_after(kBodyTimeout);
  if (beast::iequals(parser.get()[http::field::expect], "100-continue")) {
    constexpr std::string_view kContinue = "HTTP/1.1 100 Continue\r\n\r\n";
    (void)co_await asio::async_write(
        stream, asio::buffer(kContinue.data(), kContinue.size()), kNoThrow);
  }
  PartialBody body(parts.buffers, parts.clock.Now(),
                   [&stream] { stream.cancel(); });
  runtime::RequestBodyReader reader(stream, caller.buf());
  unsigned status = 0;
  std::string_view reason;
  while (!parser.is_done() && status == 0) {
    const beast::error_code ec = co_await reader.ReadSome(parser);
    const TimePoint now = parts.clock.Now();
    const std::size_t size =
        parser.get().body().size() + caller.buf().capacity();
    if (body.closed()) {
      status = 503;
      reason = "idle_body";
    } else if (ec) {
      status = StatusOf(ec, true);
      reason = ReasonOf(status);
      if (status == 0) {
        co_return std::nullopt;
      }
    } else if (!body.Grow(size, now)) {
      status = 503;
      reason = "no_memory";
    } else if (!parser.is_done() && now >= deadline) {
      // While data keeps arriving, reads complete before the stream's timer is
      // served.
      status = 408;
      reason = ReasonOf(status);
    }
  }
  if (status == 0) {
    co_return body.TakeShare();
  }
  // The memory must not be held while the refusal is sent.
  std::string().swap(parser.get().body());
  (void)body.TakeShare();
  co_await SendStatus(caller, parts, status, reason);
  co_return std::nullopt;
}

bool HasPlainCoding(const RequestHead& head) {
  const auto coding = head[http::field::transfer_encoding];
  return coding.empty() || beast::iequals(coding, "chunked");
}

// A request as read from the connection.
struct ReadRequest {
  RequestHead head;
  std::shared_ptr<const HeldBody> body;
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
  const std::uint64_t idle = ++parts.last_idle;
  parts.idle[idle] = &caller;
  const auto space = caller.buf().prepare(kReadBytes);
  auto [ec, n] = co_await stream.async_read_some(space, kNoThrow);
  parts.idle.erase(idle);
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
  // The buffer also holds trailers and the extension of a chunk until they are
  // parsed.
  caller.buf().max_size(
      std::max(limits.header_bytes + kReadBytes, caller.buf().size()));
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
      co_await SendStatus(caller, parts, status, ReasonOf(status));
    }
    co_return std::nullopt;
  }
  if (!HasPlainCoding(parser.get().base())) {
    co_await SendStatus(caller, parts, 400, ReasonOf(400));
    co_return std::nullopt;
  }
  BufferShare share(parts.buffers, BufferKind::kBody);
  if (!parser.is_done()) {
    auto read = co_await ReadBody(caller, parts, parser);
    if (!read) {
      co_return std::nullopt;
    }
    share = std::move(*read);
  }
  stream.expires_never();
  if (caller.buf().size() == 0) {
    caller.buf().shrink_to_fit();
  }
  request.keep = parser.get().keep_alive();
  request.body = std::make_shared<const HeldBody>(
      HeldBody{std::move(parser.get().body()), std::move(share)});
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
    {
      Exchange exchange(parts, *caller, std::move(request->head),
                        std::move(request->body), request->began,
                        request->keep);
      keep = co_await exchange.Run() && parts.accepting;
    }
    --parts.open_requests;
  }
  if (!caller->aborted()) {
    beast::error_code ignored;
    caller->stream().socket().shutdown(asio::ip::tcp::socket::shutdown_send,
                                       ignored);
  }
}

}  // namespace peridotgate::gateway
