// A server that sends without end: the client gives up in time and keeps only
// what its limits allow.
#include <array>
#include <atomic>
#include <optional>
#include <string>
#include <thread>

#include <gtest/gtest.h>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>

#include "runtime/http.h"

namespace peridotgate::runtime {
namespace {

using asio::ip::tcp;

// Sends `prefix`, then `block` again and again until the client closes.
class EndlessServer {
 public:
  EndlessServer(std::string prefix, std::string block)
      : acceptor_(context_, {asio::ip::address_v4::loopback(), 0}),
        thread_([this, prefix = std::move(prefix), block = std::move(block)] {
          tcp::socket socket(context_);
          acceptor_.accept(socket);
          std::array<char, 4096> buf{};
          boost::system::error_code ec;
          socket.read_some(asio::buffer(buf), ec);
          asio::write(socket, asio::buffer(prefix), ec);
          while (!ec) {
            sent_ += asio::write(socket, asio::buffer(block), ec);
          }
        }) {}
  ~EndlessServer() { thread_.join(); }
  EndlessServer(const EndlessServer&) = delete;
  EndlessServer& operator=(const EndlessServer&) = delete;

  Endpoint endpoint() const {
    return {"127.0.0.1", acceptor_.local_endpoint().port()};
  }
  std::size_t sent() const { return sent_; }

 private:
  asio::io_context context_;
  tcp::acceptor acceptor_;
  std::atomic<std::size_t> sent_{0};
  std::thread thread_;
};

class CountingSink : public HttpSink {
 public:
  void OnHead(unsigned /*status*/, std::string_view /*type*/) override {}
  asio::awaitable<bool> OnData(std::string_view data) override {
    size += data.size();
    co_return true;
  }
  std::size_t size = 0;
};

constexpr std::string_view kHead =
    "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n";

TEST(HttpClient, AResponseWithoutEndIsNotKeptUntilTheMemoryIsFull) {
  // What the sockets of both sides may buffer comes on top of the limit.
  constexpr std::size_t kLimit = 256 << 10;
  constexpr std::size_t kMaxSent = 32 << 20;
  const std::string chunked =
      std::string(kHead) + "Transfer-Encoding: chunked\r\n\r\n";
  const std::string block(16 << 10, 'x');
  const std::array<std::pair<std::string, std::string>, 6> floods{{
      {"", block},
      {std::string(kHead) + "X: ", block},
      {std::string(kHead) + "\r\n", block},
      {chunked, "4000\r\n" + block + "\r\n"},
      {chunked + "1;", block},
      {chunked + "1\r\nx\r\n0\r\nX: ", block},
  }};
  for (const bool streamed : {false, true}) {
    for (const auto& [prefix, repeated] : floods) {
      SCOPED_TRACE((streamed ? "streamed " : "whole ") + prefix);
      const bool endless_body =
          repeated != block || prefix.ends_with("\r\n\r\n");
      if (streamed && endless_body) {
        continue;  // A streamed body is not kept.
      }
      EndlessServer server(prefix, repeated);
      asio::io_context context;
      HttpClient client(context, server.endpoint(), kLimit);
      std::optional<bool> done;
      asio::co_spawn(
          context,
          [&]() -> asio::awaitable<void> {
            CountingSink sink;
            auto request = MakeRequest(http::verb::get, "/");
            if (streamed) {
              auto result = co_await client.Stream(
                  std::move(request), sink, std::chrono::milliseconds(5000));
              done = static_cast<bool>(result);
            } else {
              auto result = co_await client.Fetch(
                  std::move(request), std::chrono::milliseconds(5000));
              done = static_cast<bool>(result);
            }
          },
          asio::detached);
      context.run_for(std::chrono::seconds(10));
      ASSERT_TRUE(done);
      EXPECT_FALSE(*done);
      EXPECT_LT(server.sent(), kMaxSent);
    }
  }
}

}  // namespace
}  // namespace peridotgate::runtime
