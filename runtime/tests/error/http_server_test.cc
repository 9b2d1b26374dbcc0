// Clients that send invalid or incomplete requests: each gets an error response
// or a closed connection, and the server keeps serving other clients.
#include <algorithm>
#include <chrono>
#include <future>
#include <string>
#include <thread>

#include <gtest/gtest.h>
#include <boost/asio/connect.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>

#include "runtime/duty.h"
#include "runtime/http.h"

namespace peridotgate::runtime {
namespace {

using asio::ip::tcp;

constexpr std::size_t kBodyLimit = 1024;
constexpr std::size_t kHeaderLimit = 512;
constexpr std::chrono::seconds kWait{5};

class HttpServerTest : public testing::Test {
 protected:
  HttpServerTest()
      : server_thread_("http"),
        server_(
            server_thread_.context(),
            MakeLimits(),
            [](HttpRequest request, HttpExchange& exchange) {
              return Echo(std::move(request), exchange);
            },
            metrics_) {
    std::string error;
    EXPECT_TRUE(server_.Listen({"127.0.0.1", 0}, error)) << error;
    server_thread_.Start();
  }

  ~HttpServerTest() override { server_thread_.Stop(); }

  static HttpLimits MakeLimits() {
    HttpLimits limits;
    limits.body_bytes = kBodyLimit;
    limits.header_bytes = kHeaderLimit;
    limits.read_timeout = std::chrono::milliseconds(200);
    return limits;
  }

  static asio::awaitable<void> Echo(HttpRequest request,
                                    HttpExchange& exchange) {
    co_await exchange.Send(MakeResponse(http::status::ok, request.body()));
  }

  // Sends `text` and returns everything received until the server closes the
  // connection. `half_close` closes the sending side after `text`.
  std::string Exchange(const std::string& text, bool half_close = true) {
    asio::io_context context;
    tcp::socket socket(context);
    socket.connect({asio::ip::make_address("127.0.0.1"), server_.port()});
    boost::system::error_code ec;
    asio::write(socket, asio::buffer(text), ec);
    if (half_close) {
      socket.shutdown(tcp::socket::shutdown_send, ec);
    }
    std::string response;
    asio::read(socket, asio::dynamic_buffer(response), ec);
    return response;
  }

  // Sends the first `sent` bytes of a request, which reach the machine but not
  // the server before it stops accepting connections, and then the others.
  std::string ExchangeDuringStop(std::size_t sent) {
    const std::string request =
        "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 5\r\n\r\nhello";
    sent = std::min(sent, request.size());
    asio::io_context context;
    tcp::socket socket(context);
    boost::system::error_code ec;
    std::promise<void> stopped;
    asio::post(server_thread_.context(), [&] {
      socket.connect({asio::ip::make_address("127.0.0.1"), server_.port()}, ec);
      asio::write(socket, asio::buffer(request.substr(0, sent)), ec);
      server_.StopAccepting();
      stopped.set_value();
    });
    stopped.get_future().wait();
    const auto end = std::chrono::steady_clock::now() + kWait;
    while (sent < request.size() && server_.open_requests() == 0 &&
           std::chrono::steady_clock::now() < end) {
      std::this_thread::yield();
    }
    EXPECT_TRUE(sent == request.size() || server_.open_requests() == 1U);
    asio::write(socket, asio::buffer(request.substr(sent)), ec);
    std::string response;
    asio::read(socket, asio::dynamic_buffer(response), ec);
    return response;
  }

  void ExpectStillServing() {
    const std::string response = Exchange(
        "POST / HTTP/1.1\r\nHost: x\r\nConnection: close\r\n"
        "Content-Length: 5\r\n\r\nhello");
    EXPECT_NE(response.find("200 OK"), std::string::npos) << response;
    EXPECT_TRUE(response.ends_with("hello")) << response;
  }

  Metrics metrics_;
  Duty server_thread_;
  HttpServer server_;
};

TEST_F(HttpServerTest, RejectsBadInputAndKeepsServing) {
  {
    SCOPED_TRACE("a body over the limit");
    const std::string response =
        Exchange("POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 99999\r\n\r\n");
    EXPECT_NE(response.find("413"), std::string::npos) << response;
    EXPECT_NE(response.find("\"outcome\":\"not_run\""), std::string::npos);
    EXPECT_NE(response.find("X-Request-Id: "), std::string::npos);
    ExpectStillServing();
  }
  {
    SCOPED_TRACE("a header over the limit");
    const std::string response = Exchange(
        "GET / HTTP/1.1\r\nHost: x\r\nLong: " + std::string(4096, 'a') +
        "\r\n\r\n");
    EXPECT_NE(response.find("413"), std::string::npos) << response;
    ExpectStillServing();
  }
  {
    SCOPED_TRACE("not HTTP at all");
    const std::string response = Exchange("\x16\x03\x01 hello\r\n\r\n");
    EXPECT_NE(response.find("400"), std::string::npos) << response;
    ExpectStillServing();
  }
  {
    SCOPED_TRACE("a truncated body");
    Exchange("POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 50\r\n\r\nshort");
    ExpectStillServing();
  }
  {
    SCOPED_TRACE("a request that is never completed");
    EXPECT_EQ(Exchange("POST / HT", false), "");
    ExpectStillServing();
  }
  EXPECT_EQ(metrics_.GetCounter("peridotgate_http_too_large_total").value(),
            2U);
  EXPECT_GE(metrics_.GetCounter("peridotgate_http_malformed_total").value(),
            1U);
}

TEST_F(HttpServerTest, AnswersARequestInTheListenQueueWhenItStops) {
  const std::string response = ExchangeDuringStop(std::string::npos);
  EXPECT_TRUE(response.ends_with("hello")) << response;
}

TEST_F(HttpServerTest, CountsARequestThatIsNotCompleteAsOpen) {
  const std::string response = ExchangeDuringStop(10);
  EXPECT_TRUE(response.ends_with("hello")) << response;
}

}  // namespace
}  // namespace peridotgate::runtime
