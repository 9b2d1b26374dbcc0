// A server that writes an answer once more on a kept connection, or sends its
// answer slowly.
#include <chrono>
#include <optional>
#include <string>
#include <thread>

#include <gtest/gtest.h>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>

#include "../raw_server.h"
#include "runtime/http.h"

namespace peridotgate::runtime {
namespace {

using asio::ip::tcp;
using std::chrono::milliseconds;

std::string Answer(int number) {
  const std::string body = "answer " + std::to_string(number);
  return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) +
         "\r\n\r\n" + body;
}

Result<HttpResponse, HttpError> Fetch(HttpClient& client,
                                      asio::io_context& context,
                                      TransferLimits limits) {
  std::optional<Result<HttpResponse, HttpError>> result;
  asio::co_spawn(
      context,
      [&]() -> asio::awaitable<void> {
        auto request = MakeRequest(http::verb::get, "/");
        result.emplace(co_await client.Fetch(std::move(request), limits));
      },
      asio::detached);
  context.restart();
  context.run();
  return std::move(*result);
}

TEST(HttpClient, ACopyOfAnAnswerOnAKeptConnectionAnswersNoOtherRequest) {
  for (const milliseconds after : {milliseconds(0), milliseconds(20)}) {
    SCOPED_TRACE(after.count());
    RawServer server([&](tcp::socket& socket, int request) {
      if (after.count() == 0) {
        WriteRaw(socket, Answer(request) + Answer(request));
        return;
      }
      WriteRaw(socket, Answer(request));
      std::this_thread::sleep_for(after);
      WriteRaw(socket, Answer(request));
    });
    asio::io_context context;
    HttpClient client(context, server.endpoint());
    for (int i = 1; i <= 4; ++i) {
      const auto answer =
          Fetch(client, context, WithProgress(milliseconds(500)));
      ASSERT_TRUE(answer);
      EXPECT_EQ(answer.value().body(), "answer " + std::to_string(i));
      std::this_thread::sleep_for(2 * after);
    }
  }
}

TEST(HttpClient, AnAnswerCutInItsHeadIsNoAnswer) {
  const std::string answer = Answer(1);
  for (std::size_t cut = 1; cut < answer.find("\r\n\r\n") + 4; ++cut) {
    RawServer server([&](tcp::socket& socket, int /*request*/) {
      WriteRaw(socket, answer.substr(0, cut));
      boost::system::error_code ignored;
      socket.shutdown(tcp::socket::shutdown_both, ignored);
    });
    asio::io_context context;
    HttpClient client(context, server.endpoint());
    const auto result = Fetch(client, context, WithProgress(milliseconds(500)));
    ASSERT_FALSE(result) << cut;
  }
}

TEST(HttpClient, AResponseThatMakesProgressIsReadToItsEnd) {
  const TransferLimits limits{milliseconds(200), milliseconds(200),
                              milliseconds(2000)};
  {
    SCOPED_TRACE("a piece each 50 ms, 500 ms in all");
    RawServer server([](tcp::socket& socket, int /*request*/) {
      WriteRaw(socket, "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\n");
      for (int i = 0; i < 10; ++i) {
        std::this_thread::sleep_for(milliseconds(50));
        WriteRaw(socket, "x");
      }
    });
    asio::io_context context;
    HttpClient client(context, server.endpoint());
    const auto answer = Fetch(client, context, limits);
    ASSERT_TRUE(answer);
    EXPECT_EQ(answer.value().body(), "xxxxxxxxxx");
  }
  {
    SCOPED_TRACE("stalls");
    RawServer server([](tcp::socket& socket, int /*request*/) {
      WriteRaw(socket, "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nx");
    });
    asio::io_context context;
    HttpClient client(context, server.endpoint());
    const auto answer = Fetch(client, context, limits);
    ASSERT_FALSE(answer);
    EXPECT_EQ(answer.error(), HttpError::kTimeout);
  }
  {
    SCOPED_TRACE("progress without end");
    RawServer server([](tcp::socket& socket, int /*request*/) {
      WriteRaw(socket, "HTTP/1.1 200 OK\r\nContent-Length: 1000\r\n\r\n");
      for (int i = 0; i < 60; ++i) {
        std::this_thread::sleep_for(milliseconds(50));
        WriteRaw(socket, "x");
      }
    });
    asio::io_context context;
    HttpClient client(context, server.endpoint());
    const auto answer = Fetch(client, context, limits);
    ASSERT_FALSE(answer);
    EXPECT_EQ(answer.error(), HttpError::kTimeout);
  }
}

}  // namespace
}  // namespace peridotgate::runtime
