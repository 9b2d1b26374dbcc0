// The server half of runtime/http.h.
#include <atomic>
#include <memory>
#include <optional>
#include <utility>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/buffers_cat.hpp>
#include <boost/beast/core/buffers_suffix.hpp>
#include <boost/beast/core/buffers_to_string.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/chunk_encode.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/serializer.hpp>
#include <boost/beast/http/write.hpp>

#include "coordination/ids.h"
#include "runtime/body_reader.h"
#include "runtime/http.h"

namespace peridotgate::runtime {
namespace {

namespace beast = boost::beast;
using asio::ip::tcp;

constexpr auto kNoThrow = asio::as_tuple(asio::use_awaitable);
// Size of the first read of a request.
constexpr std::size_t kReadBytes = 4 << 10;

class Exchange : public HttpExchange {
 public:
  Exchange(beast::tcp_stream& stream, const HttpLimits& limits, bool keep_alive)
      : stream_(stream), limits_(limits), keep_alive_(keep_alive) {}
  ~Exchange() override { FlushHead(); }

  asio::awaitable<bool> Send(HttpResponse response) override {
    response.keep_alive(keep_alive_);
    response.prepare_payload();
    stream_.expires_after(limits_.write_timeout);
    auto [ec, n] = co_await http::async_write(stream_, response, kNoThrow);
    co_return RecordWrite(!ec);
  }

  // Queues the head. It is sent together with the first chunk if one is
  // written before control returns to the event loop, else on its own.
  asio::awaitable<bool> BeginStream(HttpResponse response) override {
    http::response<http::empty_body> head(std::move(response.base()));
    head.keep_alive(keep_alive_);
    head.chunked(true);
    *unsent_head_ = SerializeHead(head);
    responded_ = true;
    asio::post(stream_.get_executor(),
               [this, head = std::weak_ptr(unsent_head_)] {
                 if (!head.expired()) {
                   FlushHead();
                 }
               });
    co_return alive_;
  }

  asio::awaitable<bool> Write(std::string_view data) override {
    if (!alive_) {
      co_return false;
    }
    const std::string head = std::exchange(*unsent_head_, {});
    co_return co_await WriteAll(beast::buffers_cat(
        asio::buffer(head), http::make_chunk(asio::buffer(data))));
  }

  asio::awaitable<bool> EndStream() override {
    const std::string head = std::exchange(*unsent_head_, {});
    co_return co_await WriteAll(
        beast::buffers_cat(asio::buffer(head), http::make_chunk_last()));
  }

  void Abort() override { alive_ = false; }

  bool alive() const { return alive_ && responded_; }

 private:
  static std::string SerializeHead(http::response<http::empty_body>& head) {
    http::response_serializer<http::empty_body> serializer(head);
    serializer.split(true);
    std::string text;
    beast::error_code ec;
    serializer.next(ec, [&](beast::error_code& /*ec*/, const auto& buffers) {
      text = beast::buffers_to_string(buffers);
    });
    return text;
  }

  // Sends the queued head without blocking. What the socket does not accept is
  // sent with the next chunk.
  void FlushHead() {
    if (unsent_head_->empty()) {
      return;
    }
    beast::error_code ec;
    const std::size_t n =
        stream_.socket().write_some(asio::buffer(*unsent_head_), ec);
    alive_ = alive_ && (!ec || ec == asio::error::would_block);
    unsent_head_->erase(0, n);
  }

  // Tries a non-blocking write first, which nearly always sends everything, and
  // waits only for the remainder.
  template <class Buffers>
  asio::awaitable<bool> WriteAll(Buffers buffers) {
    beast::buffers_suffix<Buffers> rest(buffers);
    beast::error_code ec;
    const std::size_t written = stream_.socket().write_some(rest, ec);
    if (ec && ec != asio::error::would_block) {
      co_return RecordWrite(false);
    }
    rest.consume(written);
    if (beast::buffer_bytes(rest) == 0) {
      co_return RecordWrite(true);
    }
    stream_.expires_after(limits_.write_timeout);
    auto [failed, n] = co_await asio::async_write(stream_, rest, kNoThrow);
    co_return RecordWrite(!failed);
  }

  bool RecordWrite(bool ok) {
    responded_ = true;
    alive_ = alive_ && ok;
    return ok;
  }

  beast::tcp_stream& stream_;
  const HttpLimits& limits_;
  bool keep_alive_;
  bool alive_ = true;
  bool responded_ = false;
  // The head of a chunked response until it is sent. The posted `FlushHead`
  // holds a weak pointer, so that it does nothing after the exchange ends.
  std::shared_ptr<std::string> unsent_head_ = std::make_shared<std::string>();
};

// Counts a request while it exists.
class OpenRequest {
 public:
  explicit OpenRequest(std::atomic<std::size_t>& count) : count_(count) {
    ++count_;
  }
  ~OpenRequest() { --count_; }
  OpenRequest(const OpenRequest&) = delete;
  OpenRequest& operator=(const OpenRequest&) = delete;

 private:
  std::atomic<std::size_t>& count_;
};

}  // namespace

struct HttpServer::Impl : std::enable_shared_from_this<Impl> {
  Impl(asio::io_context& context,
       HttpLimits limits,
       HttpHandler handler,
       Metrics& metrics)
      : context(context),
        acceptor(context),
        limits(limits),
        handler(std::move(handler)),
        rejected(
            metrics.GetCounter("peridotgate_http_connections_refused_total")),
        malformed(metrics.GetCounter("peridotgate_http_malformed_total")),
        too_large(metrics.GetCounter("peridotgate_http_too_large_total")) {}

  asio::io_context& context;
  tcp::acceptor acceptor;
  HttpLimits limits;
  HttpHandler handler;
  Counter& rejected;
  Counter& malformed;
  Counter& too_large;
  std::atomic<std::size_t> open_requests{0};
  std::size_t connections = 0;
  bool keep_alive_enabled = true;

  asio::awaitable<void> Accept(std::shared_ptr<Impl> self) {
    while (acceptor.is_open()) {
      auto [ec, socket] = co_await acceptor.async_accept(kNoThrow);
      if (ec == asio::error::operation_aborted) {
        co_return;
      }
      if (ec) {
        continue;
      }
      StartServing(self, std::move(socket));
    }
  }

  void StartServing(std::shared_ptr<Impl> self, tcp::socket socket) {
    if (connections >= limits.connections) {
      rejected.Add();
      return;
    }
    asio::co_spawn(context,
                   Serve(std::move(self), beast::tcp_stream(std::move(socket))),
                   asio::detached);
  }

  // Closing the listening socket would reset the connections in its queue.
  void AcceptQueued() {
    beast::error_code ec;
    acceptor.non_blocking(true, ec);
    while (!ec) {
      tcp::socket socket(context);
      acceptor.accept(socket, ec);
      if (!ec) {
        StartServing(shared_from_this(), std::move(socket));
      }
    }
  }

  // Holds `self` to keep this object alive as long as its connections.
  asio::awaitable<void> Serve(std::shared_ptr<Impl> /*self*/,
                              beast::tcp_stream stream) {
    ++connections;
    beast::error_code ignored;
    stream.socket().set_option(tcp::no_delay(true), ignored);
    stream.socket().non_blocking(true, ignored);
    beast::flat_buffer buf;
    while (co_await ServeOne(stream, buf)) {
    }
    stream.socket().shutdown(tcp::socket::shutdown_send, ignored);
    --connections;
  }

  // Reads and handles one request. Returns false when the connection must be
  // closed.
  asio::awaitable<bool> ServeOne(beast::tcp_stream& stream,
                                 beast::flat_buffer& buf) {
    stream.expires_after(limits.read_timeout);
    if (buf.size() == 0) {
      auto [ec, n] =
          co_await stream.async_read_some(buf.prepare(kReadBytes), kNoThrow);
      if (ec) {
        co_return false;
      }
      buf.commit(n);
      stream.expires_after(limits.read_timeout);
    }
    // Counted from its first byte, so that a stop waits for the rest.
    const OpenRequest open(open_requests);
    http::request_parser<http::string_body> parser;
    parser.header_limit(static_cast<std::uint32_t>(limits.header_bytes));
    parser.body_limit(limits.body_bytes);
    auto [ec, n] =
        co_await http::async_read_header(stream, buf, parser, kNoThrow);
    RequestBodyReader body(stream, buf);
    while (!ec && !parser.is_done()) {
      ec = co_await body.ReadSome(parser);
    }
    if (ec) {
      co_await RespondToBadRequest(stream, ec);
      co_return false;
    }
    HttpRequest request = parser.release();
    const bool keep_alive = request.keep_alive() && keep_alive_enabled;
    Exchange exchange(stream, limits, keep_alive);
    co_await handler(std::move(request), exchange);
    co_return keep_alive&& exchange.alive();
  }

  asio::awaitable<void> RespondToBadRequest(beast::tcp_stream& stream,
                                            beast::error_code ec) {
    if (ec == http::error::end_of_stream || ec == beast::error::timeout ||
        ec.category() !=
            http::make_error_code(http::error::bad_method).category()) {
      co_return;
    }
    const bool large =
        ec == http::error::body_limit || ec == http::error::header_limit;
    (large ? too_large : malformed).Add();
    Exchange exchange(stream, limits, false);
    auto status =
        large ? http::status::payload_too_large : http::status::bad_request;
    HttpResponse response = MakeResponse(
        status,
        "{\"type\":\"about:blank\",\"title\":\"Malformed request\","
        "\"outcome\":\"not_run\",\"detail\":\"" +
            ec.message() + "\"}",
        "application/problem+json");
    response.set("X-Request-Id", coordination::ToHex(coordination::NewId()));
    co_await exchange.Send(std::move(response));
  }
};

HttpServer::HttpServer(asio::io_context& context,
                       HttpLimits limits,
                       HttpHandler handler,
                       Metrics& metrics)
    : impl_(std::make_shared<Impl>(context,
                                   limits,
                                   std::move(handler),
                                   metrics)) {}

HttpServer::~HttpServer() = default;

bool HttpServer::Listen(const Endpoint& endpoint, std::string& error) {
  try {
    tcp::endpoint address(asio::ip::make_address(endpoint.address),
                          endpoint.port);
    impl_->acceptor.open(address.protocol());
    impl_->acceptor.set_option(tcp::acceptor::reuse_address(true));
    impl_->acceptor.bind(address);
    impl_->acceptor.listen();
  } catch (const std::exception& e) {
    error = ToString(endpoint) + ": " + e.what();
    return false;
  }
  asio::co_spawn(impl_->context, impl_->Accept(impl_), asio::detached);
  return true;
}

std::uint16_t HttpServer::port() const {
  beast::error_code ignored;
  return impl_->acceptor.local_endpoint(ignored).port();
}

void HttpServer::StopKeeping() {
  impl_->keep_alive_enabled = false;
}

void HttpServer::StopAccepting() {
  beast::error_code ignored;
  impl_->keep_alive_enabled = false;
  impl_->AcceptQueued();
  impl_->acceptor.close(ignored);
}

std::size_t HttpServer::open_requests() const {
  return impl_->open_requests.load();
}

}  // namespace peridotgate::runtime
