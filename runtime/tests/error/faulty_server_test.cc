// A server that writes an answer once more on a kept connection, or sends its
// answer slowly.
#include <array>
#include <atomic>
#include <chrono>
#include <functional>
#include <list>
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
using std::chrono::milliseconds;

std::string Answer(int number) {
  const std::string body = "answer " + std::to_string(number);
  return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) +
         "\r\n\r\n" + body;
}

// Serves each connection on a thread of its own.
class Server {
 public:
  using Serve = std::function<void(tcp::socket& socket, int request)>;

  explicit Server(Serve serve)
      : serve_(std::move(serve)),
        acceptor_(context_, {asio::ip::address_v4::loopback(), 0}),
        port_(acceptor_.local_endpoint().port()),
        thread_([this] { Accept(); }) {}
  ~Server() {
    stopping_ = true;
    asio::io_context context;
    tcp::socket last(context);
    boost::system::error_code ignored;
    last.connect({asio::ip::address_v4::loopback(), port_}, ignored);
    thread_.join();
    for (std::thread& it : connections_) {
      it.join();
    }
  }
  Server(const Server&) = delete;
  Server& operator=(const Server&) = delete;

  Endpoint endpoint() const { return {"127.0.0.1", port_}; }

 private:
  void Accept() {
    while (true) {
      tcp::socket socket(context_);
      acceptor_.accept(socket);
      if (stopping_) {
        return;
      }
      connections_.emplace_back([this, socket = std::move(socket)]() mutable {
        std::array<char, 4096> buf{};
        boost::system::error_code ec;
        while (socket.read_some(asio::buffer(buf), ec) > 0 && !ec) {
          serve_(socket, ++requests_);
        }
      });
    }
  }

  Serve serve_;
  std::atomic<int> requests_{0};
  std::atomic<bool> stopping_{false};
  asio::io_context context_;
  tcp::acceptor acceptor_;
  std::uint16_t port_;
  std::list<std::thread> connections_;
  std::thread thread_;
};

void Write(tcp::socket& socket, std::string_view bytes) {
  boost::system::error_code ignored;
  asio::write(socket, asio::buffer(bytes), ignored);
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
    Server server([&](tcp::socket& socket, int request) {
      if (after.count() == 0) {
        Write(socket, Answer(request) + Answer(request));
        return;
      }
      Write(socket, Answer(request));
      std::this_thread::sleep_for(after);
      Write(socket, Answer(request));
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
    Server server([&](tcp::socket& socket, int /*request*/) {
      Write(socket, answer.substr(0, cut));
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
    Server server([](tcp::socket& socket, int /*request*/) {
      Write(socket, "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\n");
      for (int i = 0; i < 10; ++i) {
        std::this_thread::sleep_for(milliseconds(50));
        Write(socket, "x");
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
    Server server([](tcp::socket& socket, int /*request*/) {
      Write(socket, "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nx");
    });
    asio::io_context context;
    HttpClient client(context, server.endpoint());
    const auto answer = Fetch(client, context, limits);
    ASSERT_FALSE(answer);
    EXPECT_EQ(answer.error(), HttpError::kTimeout);
  }
  {
    SCOPED_TRACE("progress without end");
    Server server([](tcp::socket& socket, int /*request*/) {
      Write(socket, "HTTP/1.1 200 OK\r\nContent-Length: 1000\r\n\r\n");
      for (int i = 0; i < 60; ++i) {
        std::this_thread::sleep_for(milliseconds(50));
        Write(socket, "x");
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
