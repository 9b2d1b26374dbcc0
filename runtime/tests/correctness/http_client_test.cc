// Requests that are larger than the socket buffers: the client must send the
// remainder after a partial write, and time out if the server does not read.
#include <array>
#include <chrono>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

#include <gtest/gtest.h>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include "runtime/duty.h"
#include "runtime/http.h"

namespace peridotgate::runtime {
namespace {

constexpr std::size_t kLargeBytes = 24 << 20;  // More than socket buffers hold.

asio::awaitable<void> Echo(HttpRequest request, HttpExchange& exchange) {
  co_await exchange.Send(MakeResponse(http::status::ok, request.body()));
}

TEST(HttpClient, SendsLargeRequestCompletely) {
  Metrics metrics;
  Duty server_thread("http");
  HttpLimits limits;
  limits.body_bytes = kLargeBytes;
  HttpServer server(server_thread.context(), limits, Echo, metrics);
  std::string error;
  ASSERT_TRUE(server.Listen({"127.0.0.1", 0}, error)) << error;
  HttpClient client(server_thread.context(), {"127.0.0.1", server.port()});
  std::string body(kLargeBytes, '\0');
  for (std::size_t i = 0; i < body.size(); ++i) {
    body[i] = static_cast<char>('a' + i * i % 23);
  }
  int matching_responses = 0;
  auto fetch = [&](std::string text) -> asio::awaitable<void> {
    const auto response = co_await client.Fetch(
        MakeRequest(http::verb::post, "/", text), std::chrono::seconds(30));
    matching_responses += response && response.value().body() == text ? 1 : 0;
  };
  for (const std::string& it : {body, body, std::string("small")}) {
    asio::co_spawn(server_thread.context(), fetch(it), asio::detached);
  }
  while (matching_responses < 3 &&
         server_thread.context().run_one_for(std::chrono::seconds(30))) {
  }
  EXPECT_EQ(matching_responses, 3);
}

TEST(HttpClient, TimesOutOnServerThatDoesNotRead) {
  asio::io_context context;
  asio::ip::tcp::acceptor acceptor(context,
                                   {asio::ip::make_address("127.0.0.1"), 0});
  HttpClient client(context, {"127.0.0.1", acceptor.local_endpoint().port()});
  std::optional<HttpError> error;
  auto fetch = [&]() -> asio::awaitable<void> {
    const auto response = co_await client.Fetch(
        MakeRequest(http::verb::post, "/", std::string(kLargeBytes, 'x')),
        std::chrono::milliseconds(50));
    error = response ? std::nullopt : std::optional(response.error());
  };
  asio::co_spawn(context, fetch(), asio::detached);
  context.run_for(std::chrono::seconds(30));
  EXPECT_EQ(error, HttpError::kTimeout);
}

// Open connections may fall silent at the same moment, without a reset, while
// new ones work. Each of them would cost the caller a timeout.
TEST(HttpClient, TrustsNoIdleConnectionAfterOneFellSilent) {
  asio::io_context context;
  asio::ip::tcp::acceptor acceptor(context,
                                   {asio::ip::make_address("127.0.0.1"), 0});
  int accepted = 0;
  int silent_up_to = 0;  // Connections accepted before this one don't answer.
  auto serve = [&](asio::ip::tcp::socket socket,
                   int number) -> asio::awaitable<void> {
    constexpr std::string_view kAnswer =
        "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
    std::array<char, 4096> buf{};
    while (true) {
      auto [ec, n] = co_await socket.async_read_some(
          asio::buffer(buf), asio::as_tuple(asio::use_awaitable));
      if (ec) {
        co_return;
      }
      if (number >= silent_up_to) {
        co_await asio::async_write(socket, asio::buffer(kAnswer),
                                   asio::use_awaitable);
      }
    }
  };
  auto accept = [&]() -> asio::awaitable<void> {
    while (true) {
      auto socket = co_await acceptor.async_accept(asio::use_awaitable);
      asio::co_spawn(context, serve(std::move(socket), accepted++),
                     asio::detached);
    }
  };
  asio::co_spawn(context, accept(), asio::detached);
  HttpClient client(context, {"127.0.0.1", acceptor.local_endpoint().port()});
  int answered = 0;
  int failed = 0;
  auto fetch = [&]() -> asio::awaitable<void> {
    auto request = MakeRequest(http::verb::get, "/", "");
    const auto response = co_await client.Fetch(std::move(request),
                                                std::chrono::milliseconds(200));
    (response ? answered : failed) += 1;
  };
  const auto run_until_ended = [&](int total) {
    while (answered + failed < total &&
           context.run_one_for(std::chrono::seconds(30))) {
    }
  };
  // Two at once, so that two connections are kept.
  asio::co_spawn(context, fetch(), asio::detached);
  asio::co_spawn(context, fetch(), asio::detached);
  run_until_ended(2);
  ASSERT_EQ(accepted, 2);
  silent_up_to = accepted;
  asio::co_spawn(context, fetch(), asio::detached);
  run_until_ended(3);
  EXPECT_EQ(failed, 1);
  asio::co_spawn(context, fetch(), asio::detached);
  run_until_ended(4);
  EXPECT_EQ(answered, 3);
  EXPECT_EQ(failed, 1);
}

}  // namespace
}  // namespace peridotgate::runtime
