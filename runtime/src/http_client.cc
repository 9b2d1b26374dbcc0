// The client half of runtime/http.h.
#include <sys/socket.h>

#include <algorithm>
#include <cerrno>
#include <chrono>
#include <memory>
#include <optional>
#include <utility>
#include <vector>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/write.hpp>

#include "runtime/body_reader.h"
#include "runtime/http.h"
#include "runtime/response_head.h"

namespace peridotgate::runtime {
namespace {

using asio::ip::tcp;
using Stream = std::unique_ptr<beast::tcp_stream>;

constexpr auto kNoThrow = asio::as_tuple(asio::use_awaitable);
constexpr std::size_t kMaxIdleStreams = 16;
constexpr std::chrono::milliseconds kConnectTimeout{1000};
constexpr std::size_t kReadBytes = 16 << 10;
// Bytes that are buffered until they can be parsed: a head, or the size line of
// a chunk with its extensions, or the trailers.
constexpr std::size_t kMaxBufferedBytes = 64 << 10;
constexpr std::size_t kMaxHeadBytes = 8 << 10;

template <class Body>
using Parser = std::optional<http::response_parser<Body>>;

// Reads interim responses and the head of the final one, for whose body it
// leaves `parser` ready.
template <class Body>
asio::awaitable<beast::error_code> ReadFinalHead(
    beast::tcp_stream& stream,
    beast::flat_buffer& buf,
    Parser<Body>& parser,
    boost::optional<std::uint64_t> max_body_bytes) {
  for (int i = 0; i <= kMaxInterimResponses; ++i) {
    parser.emplace();
    parser->body_limit(max_body_bytes);
    const beast::error_code ec =
        co_await ReadResponseHead(stream, buf, *parser, kMaxHeadBytes);
    if (ec || IsFinalStatus(parser->get().result_int())) {
      co_return ec;
    }
  }
  co_return http::error::bad_status;
}

HttpError FromIoError(const beast::error_code& ec) {
  return ec == beast::error::timeout ? HttpError::kTimeout : HttpError::kBroken;
}

// Whether the server neither closed the connection nor sent anything that no
// request asked for, such as a copy of an answer.
bool IsQuiet(beast::tcp_stream& stream) {
  char byte = 0;
  const auto n = ::recv(stream.socket().native_handle(), &byte, 1,
                        MSG_PEEK | MSG_DONTWAIT);
  return n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

// Cancels a stream when a read waits longer than `idle`. Uses one timer per
// stream, which is not restarted for each read.
class IdleTimeout : public std::enable_shared_from_this<IdleTimeout> {
 public:
  IdleTimeout(asio::io_context& context, std::chrono::milliseconds idle)
      : timer_(context), idle_(idle) {}

  void Start(beast::tcp_stream& stream) {
    stream_ = &stream;
    read_start_ = Clock::now();
    Wait();
  }

  /** Starts the timeout of a read. */
  void BeginRead() {
    reading_ = true;
    read_start_ = Clock::now();
  }

  /** The read is complete; time until the next one does not count. */
  void EndRead() { reading_ = false; }

  /** Disables the timeout. */
  void Stop() {
    stream_ = nullptr;
    timer_.cancel();
  }

  bool expired() const { return expired_; }

 private:
  using Clock = std::chrono::steady_clock;

  void Wait() {
    timer_.expires_at(read_start_ + idle_);
    timer_.async_wait([self = shared_from_this()](const beast::error_code&) {
      self->OnTimer();
    });
  }

  void OnTimer() {
    if (stream_ == nullptr) {
      return;
    }
    const auto now = Clock::now();
    read_start_ = reading_ ? read_start_ : now;
    if (now < read_start_ + idle_) {
      Wait();
      return;
    }
    expired_ = true;
    stream_->cancel();
  }

  asio::steady_timer timer_;
  std::chrono::milliseconds idle_;
  beast::tcp_stream* stream_ = nullptr;
  Clock::time_point read_start_;
  bool reading_ = false;
  bool expired_ = false;
};

// Applies an `IdleTimeout` to a stream for the duration of a scope.
class IdleTimeoutScope {
 public:
  IdleTimeoutScope(std::shared_ptr<IdleTimeout> idle_timeout,
                   beast::tcp_stream& stream)
      : idle_timeout_(std::move(idle_timeout)) {
    idle_timeout_->Start(stream);
  }
  ~IdleTimeoutScope() { Stop(); }
  IdleTimeoutScope(const IdleTimeoutScope&) = delete;
  IdleTimeoutScope& operator=(const IdleTimeoutScope&) = delete;

  void Stop() const { idle_timeout_->Stop(); }

 private:
  std::shared_ptr<IdleTimeout> idle_timeout_;
};

}  // namespace

std::string_view Name(HttpError error) {
  switch (error) {
    case HttpError::kNotSent:
      return "not_sent";
    case HttpError::kTimeout:
      return "timeout";
    case HttpError::kBroken:
      return "broken";
    case HttpError::kMalformed:
      return "malformed";
    case HttpError::kStoppedBySink:
      return "stopped";
  }
  return "unknown";
}

struct HttpClient::Impl {
  asio::io_context& context;
  Endpoint server;
  std::uint64_t max_response_bytes;
  std::vector<peridotgate::runtime::Stream> idle_streams;

  asio::awaitable<peridotgate::runtime::Stream> Connect(Connection connection) {
    while (connection == Connection::kKept && !idle_streams.empty()) {
      auto stream = std::move(idle_streams.back());
      idle_streams.pop_back();
      if (IsQuiet(*stream)) {
        co_return stream;
      }
    }
    auto stream = std::make_unique<beast::tcp_stream>(context);
    tcp::endpoint address(asio::ip::make_address(server.address), server.port);
    stream->expires_after(kConnectTimeout);
    auto [ec] = co_await stream->async_connect(address, kNoThrow);
    if (ec) {
      co_return nullptr;
    }
    beast::error_code ignored;
    stream->socket().set_option(tcp::no_delay(true), ignored);
    stream->socket().non_blocking(true, ignored);
    co_return stream;
  }

  // Connects and sends `request`. Tries a non-blocking write first, which
  // nearly always sends everything and needs neither a timer nor another turn
  // of the event loop. The returned stream expires `timeout` after the connect.
  asio::awaitable<Result<peridotgate::runtime::Stream, HttpError>> Send(
      const HttpRequest& request,
      std::chrono::milliseconds timeout,
      Connection connection) {
    auto stream = co_await Connect(connection);
    if (!stream) {
      co_return HttpError::kNotSent;
    }
    stream->expires_after(timeout);
    http::request_serializer<http::string_body> serializer(request);
    beast::error_code ec;
    http::write(stream->socket(), serializer, ec);
    if (ec == asio::error::would_block) {
      auto [failed, n] =
          co_await http::async_write(*stream, serializer, kNoThrow);
      ec = failed;
    }
    if (ec) {
      co_return FromIoError(ec);
    }
    co_return std::move(stream);
  }

  // Connections may fall silent without a reset, all at the same time. After
  // one timed out, the idle ones are not trusted either.
  HttpError OnFailure(const beast::error_code& ec) {
    const HttpError error = FromIoError(ec);
    if (error == HttpError::kTimeout) {
      idle_streams.clear();
    }
    return error;
  }

  // Keeps the connection, unless `rest` holds more than the answer.
  void KeepIdle(peridotgate::runtime::Stream stream,
                const beast::flat_buffer& rest) {
    if (rest.size() == 0 && idle_streams.size() < kMaxIdleStreams) {
      stream->expires_never();
      idle_streams.push_back(std::move(stream));
    }
  }
};

HttpClient::HttpClient(asio::io_context& context,
                       Endpoint server,
                       std::uint64_t max_response_bytes)
    : impl_(new Impl{context, std::move(server), max_response_bytes, {}}) {}

HttpClient::~HttpClient() = default;

asio::awaitable<Result<HttpResponse, HttpError>> HttpClient::Fetch(
    HttpRequest request,
    std::chrono::milliseconds timeout,
    Connection connection) {
  auto sent = co_await impl_->Send(request, timeout, connection);
  if (!sent) {
    co_return sent.error();
  }
  auto stream = std::move(sent.value());
  beast::flat_buffer buf(kMaxBufferedBytes);
  Parser<http::string_body> parser;
  const beast::error_code head =
      co_await ReadFinalHead(*stream, buf, parser, impl_->max_response_bytes);
  if (head) {
    co_return impl_->OnFailure(head);
  }
  ResponseBodyReader body(*stream, buf);
  while (!parser->is_done()) {
    const beast::error_code ec = co_await body.ReadSome(*parser);
    if (ec) {
      co_return impl_->OnFailure(ec);
    }
  }
  if (parser->keep_alive()) {
    impl_->KeepIdle(std::move(stream), buf);
  }
  co_return parser->release();
}

asio::awaitable<Result<HttpResponse, HttpError>> HttpClient::Fetch(
    HttpRequest request,
    TransferLimits limits,
    Connection connection) {
  const auto end = std::chrono::steady_clock::now() + limits.total;
  auto sent = co_await impl_->Send(request, limits.first_byte, connection);
  if (!sent) {
    co_return sent.error();
  }
  auto stream = std::move(sent.value());
  beast::flat_buffer buf(kMaxBufferedBytes);
  Parser<http::string_body> parser;
  const beast::error_code head =
      co_await ReadFinalHead(*stream, buf, parser, impl_->max_response_bytes);
  if (head) {
    co_return impl_->OnFailure(head);
  }
  ResponseBodyReader body(*stream, buf);
  while (!parser->is_done()) {
    stream->expires_at(
        std::min(end, std::chrono::steady_clock::now() + limits.idle));
    const beast::error_code ec = co_await body.ReadSome(*parser);
    if (ec) {
      co_return impl_->OnFailure(ec);
    }
  }
  if (parser->keep_alive()) {
    impl_->KeepIdle(std::move(stream), buf);
  }
  co_return parser->release();
}

asio::awaitable<Result<void, HttpError>> HttpClient::Stream(
    HttpRequest request,
    HttpSink& sink,
    std::chrono::milliseconds idle,
    Connection connection) {
  auto sent = co_await impl_->Send(request, idle, connection);
  if (!sent) {
    co_return sent.error();
  }
  auto stream = std::move(sent.value());
  beast::flat_buffer buf(kMaxBufferedBytes);
  Parser<http::buffer_body> parser;
  const beast::error_code head =
      co_await ReadFinalHead(*stream, buf, parser, boost::none);
  if (head) {
    co_return FromIoError(head);
  }
  sink.OnHead(parser->get().result_int(),
              parser->get()[http::field::content_type]);
  stream->expires_never();
  const auto idle_timeout = std::make_shared<IdleTimeout>(impl_->context, idle);
  const IdleTimeoutScope idle_scope(idle_timeout, *stream);
  ResponseBodyReader body(*stream, buf);
  std::vector<char> chunk(kReadBytes);
  while (!parser->is_done()) {
    parser->get().body().data = chunk.data();
    parser->get().body().size = chunk.size();
    idle_timeout->BeginRead();
    const beast::error_code ec = co_await body.ReadSome(*parser);
    idle_timeout->EndRead();
    if (ec && ec != http::error::need_buffer) {
      co_return idle_timeout->expired() ? HttpError::kTimeout : FromIoError(ec);
    }
    const std::size_t size = chunk.size() - parser->get().body().size;
    if (size > 0 && !co_await sink.OnData({chunk.data(), size})) {
      co_return HttpError::kStoppedBySink;
    }
  }
  idle_scope.Stop();
  if (parser->keep_alive()) {
    impl_->KeepIdle(std::move(stream), buf);
  }
  co_return coordination::outcome::success();
}

HttpRequest MakeRequest(http::verb method,
                        std::string_view target,
                        std::string body,
                        std::string_view content_type) {
  constexpr unsigned kHttp11 = 11;
  HttpRequest request(method, {target.data(), target.size()}, kHttp11);
  request.set(http::field::host, "backend");
  request.set(http::field::content_type,
              {content_type.data(), content_type.size()});
  request.body() = std::move(body);
  request.prepare_payload();
  return request;
}

HttpResponse MakeResponse(http::status status,
                          std::string body,
                          std::string_view content_type) {
  constexpr unsigned kHttp11 = 11;
  HttpResponse response(status, kHttp11);
  response.set(http::field::content_type,
               {content_type.data(), content_type.size()});
  response.body() = std::move(body);
  response.prepare_payload();
  return response;
}

}  // namespace peridotgate::runtime
