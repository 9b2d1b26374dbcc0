#include "server_connection.h"

#include <sys/socket.h>

#include <array>
#include <charconv>
#include <deque>
#include <optional>
#include <utility>
#include <vector>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/buffer.hpp>
#include <boost/asio/error.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/buffers_suffix.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/parser.hpp>

#include "runtime/body_reader.h"
#include "runtime/response_head.h"
#include "tcp_options.h"

namespace peridotgate::gateway {
namespace {

namespace beast = boost::beast;
using asio::ip::tcp;
using Parser = http::response_parser<http::buffer_body>;

constexpr auto kNoThrow = asio::as_tuple(asio::use_awaitable);

// Size of one read of a body.
constexpr std::size_t kReadBytes = 16 << 10;
constexpr std::size_t kMaxHeadBytes = 32 << 10;
// Maximum number of responses to earlier requests that may precede the awaited
// one.
constexpr int kMaxUnrelatedResponses = 4;
// Body bytes of unrelated responses that are read to reuse the connection.
constexpr std::size_t kMaxDiscardedBytes = 1 << 20;
// Bytes that are buffered until they can be parsed: a head, or the size line of
// a chunk with its extensions, or the trailers.
constexpr std::size_t kMaxBufferedBytes = 64 << 10;
// Idle time limit if the server announces none.
constexpr Millis kDefaultIdleLimit{2000};
// A server may close this much before the time that it announced.
constexpr Millis kIdleMargin{1000};
// Maximum idle time, whatever the server announces.
constexpr Millis kMaxIdleLimit{30000};

// The `timeout` of a Keep-Alive header.
std::optional<Millis> KeepAliveTimeout(std::string_view value) {
  constexpr std::string_view kTimeout = "timeout=";
  const std::size_t at = value.find(kTimeout);
  if (at == std::string_view::npos) {
    return std::nullopt;
  }
  value.remove_prefix(at + kTimeout.size());
  std::int64_t seconds = 0;
  const auto end =
      std::from_chars(value.data(), value.data() + value.size(), seconds);
  if (end.ec != std::errc()) {
    return std::nullopt;
  }
  return Millis(seconds * 1000);
}

}  // namespace

std::string_view Name(ServerError error) {
  switch (error) {
    case ServerError::kNotSent:
      return "not_sent";
    case ServerError::kTimeout:
      return "timeout";
    case ServerError::kBroken:
      return "broken";
    case ServerError::kMalformed:
      return "malformed";
    case ServerError::kCancelled:
      return "cancelled";
  }
  return "unknown";
}

struct ServerConnection::Impl : std::enable_shared_from_this<Impl> {
  Impl(asio::io_context& context,
       const coordination::Clock& clock,
       const ServerProtocol& protocol)
      : stream(context), clock(clock), protocol(protocol) {}

  beast::tcp_stream stream;
  const coordination::Clock& clock;
  const ServerProtocol& protocol;
  beast::flat_buffer buf{kMaxBufferedBytes};
  std::optional<Parser> parser;
  std::optional<runtime::ResponseBodyReader> body;
  // What is being sent, and the part of it that is left.
  std::string outgoing_head;
  std::shared_ptr<const HeldBody> outgoing_body;
  beast::buffers_suffix<std::array<asio::const_buffer, 2>> unsent;
  std::array<char, kReadBytes> piece;
  bool sending = false;
  bool reset = false;  // A write found that the connection was reset.
  std::optional<ServerError> cancelled;  // Why.
  bool can_reuse = false;  // The last response ended cleanly with keep-alive.
  TimePoint idle_since{};
  Millis idle_limit = kDefaultIdleLimit;

  void Expire(TimePoint deadline) {
    stream.expires_at(std::chrono::steady_clock::time_point(
        std::chrono::duration_cast<std::chrono::steady_clock::duration>(
            deadline.time_since_epoch())));
  }

  ServerError Translate(const beast::error_code& ec) const {
    if (cancelled) {
      return *cancelled;
    }
    if (ec == beast::error::timeout) {
      return ServerError::kTimeout;
    }
    if (ec.category() ==
            http::make_error_code(http::error::bad_version).category() &&
        ec != http::error::end_of_stream &&
        ec != http::error::partial_message) {
      return ServerError::kMalformed;
    }
    return ServerError::kBroken;
  }

  void Close() {
    beast::error_code ignored;
    stream.socket().close(ignored);
  }

  // Writes what the socket takes, and goes on in another turn of the event
  // loop. The system reports a reset to one call only: if that is a write,
  // later reads see an end of the stream instead. After such an end, writes
  // fail with EPIPE.
  void Write() {
    beast::error_code ec;
    unsent.consume(stream.socket().write_some(unsent, ec));
    const bool full = ec == asio::error::would_block;
    if (full || (!ec && beast::buffer_bytes(unsent) > 0)) {
      WriteLater(full);
      return;
    }
    reset = ec && ec != asio::error::broken_pipe;
    sending = ec.failed();
    outgoing_body.reset();
  }

  void WriteLater(bool full) {
    auto& socket = stream.socket();
    if (!full) {
      asio::post(socket.get_executor(),
                 [self = shared_from_this()] { self->Write(); });
      return;
    }
    socket.async_wait(tcp::socket::wait_write,
                      [self = shared_from_this()](beast::error_code ec) {
                        if (ec) {
                          self->outgoing_body.reset();
                        } else {
                          self->Write();
                        }
                      });
  }

  // Whether the response has no length and was cut off by a reset.
  bool IsCutOff() const { return reset && parser->need_eof(); }

  // While data keeps arriving, reads complete before the stream's timer is
  // served, so the deadline is checked for each read as well.
  bool Expired(TimePoint deadline) const { return clock.Now() >= deadline; }

  // Reads the body of an unrelated response to its end; false if there is none
  // within the limits.
  asio::awaitable<bool> Discard(TimePoint deadline) {
    std::size_t discarded = 0;
    while (!parser->is_done()) {
      if (discarded > kMaxDiscardedBytes || Expired(deadline)) {
        co_return false;
      }
      parser->get().body().data = piece.data();
      parser->get().body().size = piece.size();
      const beast::error_code ec = co_await body->ReadSome(*parser);
      if (ec && ec != http::error::need_buffer) {
        co_return false;
      }
      discarded += piece.size() - parser->get().body().size;
    }
    co_return parser->keep_alive();
  }

  void FinishResponse() {
    const auto& head = parser->get();
    can_reuse = parser->keep_alive() && !sending && buf.size() == 0;
    const auto announced = KeepAliveTimeout(head[http::field::keep_alive]);
    idle_limit = kDefaultIdleLimit;
    if (announced) {
      idle_limit =
          std::clamp(*announced - kIdleMargin, Millis(0), kMaxIdleLimit);
    }
  }
};

ServerConnection::ServerConnection(asio::io_context& context,
                                   const coordination::Clock& clock,
                                   const ServerProtocol& protocol)
    : impl_(std::make_shared<Impl>(context, clock, protocol)) {}

ServerConnection::~ServerConnection() {
  impl_->Close();
}

asio::awaitable<Result<void, ServerError>> ServerConnection::Connect(
    const runtime::Endpoint& server,
    Millis timeout) {
  auto self = impl_;
  beast::error_code ec;
  const auto address = asio::ip::make_address(server.address, ec);
  if (ec) {
    co_return ServerError::kNotSent;
  }
  self->stream.expires_after(timeout);
  const tcp::endpoint endpoint(address, server.port);
  auto [failed] = co_await self->stream.async_connect(endpoint, kNoThrow);
  if (failed) {
    co_return self->cancelled.value_or(ServerError::kNotSent);
  }
  SetTcpOptions(self->stream.socket());
  co_return coordination::outcome::success();
}

void ServerConnection::Send(std::string head,
                            std::shared_ptr<const HeldBody> body) {
  Impl& it = *impl_;
  it.can_reuse = false;
  it.sending = true;
  it.outgoing_head = std::move(head);
  it.outgoing_body = std::move(body);
  const std::array<asio::const_buffer, 2> buffers{
      asio::buffer(it.outgoing_head), asio::buffer(it.outgoing_body->bytes)};
  it.unsent = beast::buffers_suffix(buffers);
  it.Write();
}

asio::awaitable<Result<ResponseHead, ServerError>> ServerConnection::ReadHead(
    std::string_view request_id,
    bool head_request,
    TimePoint deadline,
    const OnHead& on_head) {
  auto self = impl_;
  self->Expire(deadline);
  int unrelated = 0;
  int interim = 0;
  while (unrelated <= kMaxUnrelatedResponses &&
         interim <= runtime::kMaxInterimResponses) {
    self->parser.emplace();
    self->parser->body_limit(boost::none);
    self->parser->skip(head_request);
    self->body.emplace(self->stream, self->buf);
    const beast::error_code ec = co_await runtime::ReadResponseHead(
        self->stream, self->buf, *self->parser, kMaxHeadBytes);
    if (ec) {
      co_return self->Translate(ec);
    }
    const ResponseHead& head = self->parser->get().base();
    on_head(head);
    if (!runtime::IsFinalStatus(head.result_int())) {
      ++interim;
      continue;
    }
    if (self->protocol.Read(head).request_id == request_id) {
      co_return ResponseHead(head);
    }
    ++unrelated;
    const bool kept = co_await self->Discard(deadline);
    if (!kept) {
      co_return self->cancelled.value_or(ServerError::kBroken);
    }
  }
  co_return ServerError::kMalformed;
}

asio::awaitable<Result<BodyPiece, ServerError>> ServerConnection::ReadPiece(
    TimePoint deadline) {
  auto self = impl_;
  BodyPiece piece;
  self->Expire(deadline);
  while (piece.bytes.empty() && !self->parser->is_done()) {
    if (self->Expired(deadline)) {
      co_return ServerError::kTimeout;
    }
    auto& body = self->parser->get().body();
    body.data = self->piece.data();
    body.size = self->piece.size();
    body.more = true;
    const beast::error_code ec = co_await self->body->ReadSome(*self->parser);
    if (ec && ec != http::error::need_buffer) {
      co_return self->Translate(ec);
    }
    piece.bytes.assign(self->piece.data(), self->piece.size() - body.size);
  }
  piece.last = self->parser->is_done();
  if (piece.last && self->IsCutOff()) {
    co_return ServerError::kBroken;
  }
  if (piece.last) {
    self->FinishResponse();
  }
  co_return piece;
}

void ServerConnection::Cancel(ServerError why) {
  impl_->cancelled = impl_->cancelled.value_or(why);
  impl_->Close();
}

bool ServerConnection::reusable() const {
  return impl_->can_reuse && !impl_->cancelled;
}

bool ServerConnection::stale(TimePoint now) const {
  if (now - impl_->idle_since >= impl_->idle_limit) {
    return true;
  }
  char byte = 0;
  const auto n = ::recv(impl_->stream.socket().native_handle(), &byte, 1,
                        MSG_PEEK | MSG_DONTWAIT);
  return n >= 0 || (errno != EAGAIN && errno != EWOULDBLOCK);
}

void ServerConnection::set_idle_since(TimePoint now) {
  impl_->idle_since = now;
}

Millis ServerConnection::idle_limit() const {
  return impl_->idle_limit;
}

TimePoint ServerConnection::idle_since() const {
  return impl_->idle_since;
}

}  // namespace peridotgate::gateway
