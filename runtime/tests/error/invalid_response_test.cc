// Responses with a head that HTTP does not allow, and unusual ones that it
// does.
#include <chrono>
#include <optional>
#include <string>
#include <utility>

#include <gtest/gtest.h>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/socket_base.hpp>

#include "../raw_server.h"
#include "runtime/http.h"

namespace peridotgate::runtime {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kTimeout{2000};

// What a client made of a response.
struct Received {
  bool complete = false;
  unsigned status = 0;
  std::string body;
};

class RecordingSink : public HttpSink {
 public:
  explicit RecordingSink(Received& received) : received_(received) {}
  void OnHead(unsigned status, std::string_view /*type*/) override {
    received_.status = status;
  }
  asio::awaitable<bool> OnData(std::string_view data) override {
    received_.body += data;
    co_return true;
  }

 private:
  Received& received_;
};

// The ways in which `HttpClient` reads a response.
enum class Reading { kWhole, kWithProgress, kStreamed };
constexpr Reading kReadings[] = {Reading::kWhole, Reading::kWithProgress,
                                 Reading::kStreamed};

asio::awaitable<void> ReadResponse(HttpClient& client,
                                   Reading reading,
                                   const std::string& upload,
                                   Received& received) {
  auto request = MakeRequest(http::verb::post, "/", upload);
  if (reading == Reading::kStreamed) {
    RecordingSink sink(received);
    auto streamed = co_await client.Stream(std::move(request), sink, kTimeout,
                                           Connection::kKept);
    received.complete = static_cast<bool>(streamed);
    co_return;
  }
  std::optional<Result<HttpResponse, HttpError>> result;
  if (reading == Reading::kWhole) {
    result.emplace(co_await client.Fetch(std::move(request), kTimeout));
  } else {
    const TransferLimits limits = WithProgress(kTimeout);
    result.emplace(co_await client.Fetch(std::move(request), limits));
  }
  received.complete = static_cast<bool>(*result);
  if (*result) {
    received.status = result->value().result_int();
    received.body = result->value().body();
  }
}

// A client of a server on raw sockets.
class RawClient {
 public:
  explicit RawClient(RawServer::Serve serve) : server_(std::move(serve)) {}

  /** The server writes `response` to each request. */
  explicit RawClient(const std::string& response)
      : RawClient([response](RawServer::tcp::socket& socket, int /*request*/) {
          WriteRaw(socket, response);
        }) {}

  Received Read(Reading reading, const std::string& upload = "") {
    Received received;
    asio::co_spawn(context_, ReadResponse(client_, reading, upload, received),
                   asio::detached);
    context_.restart();
    context_.run();
    return received;
  }

  int connections() const { return server_.connections(); }

 private:
  RawServer server_;
  asio::io_context context_;
  HttpClient client_{context_, server_.endpoint()};
};

std::string Response(const std::string& status, const std::string& headers) {
  return "HTTP/1.1 " + status + "\r\n" + headers +
         "Content-Length: 4\r\n\r\nbody";
}

void ExpectInvalid(const std::string& response) {
  for (const Reading reading : kReadings) {
    SCOPED_TRACE(response + std::to_string(static_cast<int>(reading)));
    RawClient client(response);
    for (int i = 1; i <= 2; ++i) {
      const Received received = client.Read(reading);
      EXPECT_FALSE(received.complete);
      EXPECT_EQ(received.status, 0U);
      EXPECT_EQ(received.body, "");
      EXPECT_EQ(client.connections(), i);  // None is kept.
    }
  }
}

void ExpectValid(const std::string& response, unsigned status) {
  for (const Reading reading : kReadings) {
    SCOPED_TRACE(response + std::to_string(static_cast<int>(reading)));
    RawClient client(response);
    for (int i = 1; i <= 2; ++i) {
      const Received received = client.Read(reading);
      EXPECT_TRUE(received.complete);
      EXPECT_EQ(received.status, status);
      EXPECT_EQ(received.body, "body");
      EXPECT_EQ(client.connections(), 1);
    }
  }
}

TEST(InvalidResponse, HasAStatusOutsideOfTheProtocol) {
  for (const std::string status : {"000", "001", "099", "600", "999"}) {
    ExpectInvalid(Response(status + " Odd", ""));
  }
}

TEST(InvalidResponse, IsNotOneWithAnUnknownStatus) {
  for (const unsigned status : {200U, 299U, 399U, 418U, 499U, 520U, 599U}) {
    ExpectValid(Response(std::to_string(status) + " Odd", ""), status);
  }
}

TEST(InvalidResponse, IsNotTheOneAfterInterimResponses) {
  ExpectValid(
      "HTTP/1.1 100 Continue\r\n\r\n"
      "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n"
      "HTTP/1.1 199 Odd\r\n\r\n" +
          Response("200 OK", ""),
      200);
}

TEST(InvalidResponse, HasInterimResponsesWithoutEnd) {
  std::string response;
  for (int i = 0; i < 100; ++i) {
    response += "HTTP/1.1 103 Early Hints\r\n\r\n";
  }
  ExpectInvalid(response + Response("200 OK", ""));
}

TEST(InvalidResponse, HasABlankOrAControlByteInAFieldName) {
  const std::string name = "X-Other";
  for (int byte = 0; byte < 256; ++byte) {
    if (byte > ' ' && byte < 0x7f) {
      continue;
    }
    for (const std::size_t at : {std::size_t{0}, std::size_t{1}, name.size()}) {
      std::string spelling = name;
      spelling.insert(at, 1, static_cast<char>(byte));
      for (const std::string before : {"", "X-First: a\r\n"}) {
        ExpectInvalid(Response("200 OK", before + spelling + ": b\r\n"));
      }
    }
  }
}

TEST(InvalidResponse, HasABlankBeforeTheFieldThatFramesItsBody) {
  for (const std::string field :
       {" Content-Length: 4", "\tContent-Length: 4",
        " Transfer-Encoding: chunked", "\tTransfer-Encoding: chunked"}) {
    ExpectInvalid("HTTP/1.1 200 OK\r\nX-First: a\r\n" + field +
                  "\r\nConnection: close\r\n\r\n4\r\nbody\r\n0\r\n\r\n");
  }
}

TEST(InvalidResponse, IsNotOneWithUnusualFields) {
  ExpectValid(Response("200 OK",
                       "x!#$%&'*+-.^_`|~9: b\r\nX-Tight:b\r\n"
                       "X-Wide:\t b \t\r\nX-Empty:\r\nX-Text: \xc3\xa9\r\n"),
              200);
}

// The client sends all of a request before it reads, so that a write that finds
// the reset ends the exchange.
TEST(CutOffResponse, HasNoLengthAndIsResetDuringTheUpload) {
  const std::string upload(8 << 20, 'u');
  for (const std::string head : {"HTTP/1.1 200 OK\r\n\r\n",
                                 "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n",
                                 "HTTP/1.1 500 Error\r\n\r\n"}) {
    for (const Reading reading : kReadings) {
      for (const std::string& sent : {std::string(), upload}) {
        SCOPED_TRACE(head + std::to_string(sent.size()));
        RawClient client([&](RawServer::tcp::socket& socket, int /*request*/) {
          WriteRaw(socket, head + "part");
          boost::system::error_code ignored;
          socket.set_option(asio::socket_base::linger(true, 0), ignored);
          socket.close(ignored);
        });
        EXPECT_FALSE(client.Read(reading, sent).complete);
      }
    }
  }
}

TEST(CutOffResponse, IsNotOneWhoseConnectionEnds) {
  const std::string upload(1 << 20, 'u');
  for (const Reading reading : kReadings) {
    for (const std::string& sent : {std::string(), upload}) {
      SCOPED_TRACE(sent.size());
      RawClient client([&](RawServer::tcp::socket& socket, int request) {
        if (request == 1) {
          WriteRaw(socket, "HTTP/1.1 200 OK\r\n\r\nbody");
          boost::system::error_code ignored;
          socket.shutdown(RawServer::tcp::socket::shutdown_send, ignored);
        }
      });
      const Received received = client.Read(reading, sent);
      EXPECT_TRUE(received.complete);
      EXPECT_EQ(received.body, "body");
    }
  }
}

}  // namespace
}  // namespace peridotgate::runtime
