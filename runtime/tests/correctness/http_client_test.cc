// Requests that are larger than the socket buffers: the client must send the
// remainder after a partial write, and time out if the server does not read.
#include <gtest/gtest.h>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>

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

}  // namespace
}  // namespace peridotgate::runtime
