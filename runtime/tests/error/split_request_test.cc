// Requests whose bodies arrive in pieces of any size.
#include <string>

#include <gtest/gtest.h>

#include "http/body_samples.h"
#include "http/piecewise.h"
#include "runtime/http.h"

namespace peridotgate::runtime {
namespace {

class SplitRequest : public testing::Test {
 protected:
  SplitRequest() {
    std::string error;
    EXPECT_TRUE(server_.Listen({"127.0.0.1", 0}, error)) << error;
  }

  std::string Send(const Pieces& request, bool close) {
    requests_ = 0;
    return client().Exchange(request, close);
  }

  static std::string Request(const BodySample& sample) {
    return "POST / HTTP/1.1\r\nHost: x\r\n" + sample.framing + "\r\n" +
           sample.bytes;
  }

  PiecewiseClient& client() {
    if (!client_) {
      client_.emplace(context_, Endpoint{"127.0.0.1", server_.port()});
    }
    return *client_;
  }

  int requests_ = 0;  // Of the last call that the server received completely.

 private:
  asio::awaitable<void> Echo(HttpRequest request, HttpExchange& exchange) {
    ++requests_;
    auto response = MakeResponse(http::status::ok, request.body());
    co_await exchange.Send(std::move(response));
  }

  asio::io_context context_;
  Metrics metrics_;
  HttpServer server_{context_,
                     {},
                     [this](HttpRequest request, HttpExchange& exchange) {
                       return Echo(std::move(request), exchange);
                     },
                     metrics_};
  std::optional<PiecewiseClient> client_;
};

// The process ended at an empty chunked body in three pieces.
TEST_F(SplitRequest, IsCompleteHoweverItsBodyArrives) {
  for (const BodySample& it : WellFormedBodies()) {
    const std::string request = Request(it);
    SCOPED_TRACE(request);
    ForEachSplit(request, request.size() - it.bytes.size(),
                 [&](const Pieces& pieces) {
                   const std::string response = Send(pieces, false);
                   ASSERT_TRUE(response.starts_with("HTTP/1.1 200"));
                   ASSERT_TRUE(response.ends_with("\r\n\r\n" + it.body));
                 });
  }
}

TEST_F(SplitRequest, IsNeverHandledWhereItIsCut) {
  for (const BodySample& it : WellFormedBodies()) {
    const std::string request = Request(it);
    const std::size_t head = request.size() - it.bytes.size();
    SCOPED_TRACE(request);
    for (std::size_t cut = head; cut < request.size(); ++cut) {
      Send({std::string_view(request).substr(0, cut)}, true);
      ASSERT_EQ(requests_, 0);
      Send({std::string_view(request).substr(0, head),
            std::string_view(request).substr(head, cut - head)},
           true);
      ASSERT_EQ(requests_, 0);
    }
  }
}

TEST_F(SplitRequest, IsRejectedWhereItsFramingIsMalformed) {
  for (const BodySample& it : MalformedBodies()) {
    const std::string request = Request(it);
    SCOPED_TRACE(request);
    ForEachSplit(
        request, request.size() - it.bytes.size(), [&](const Pieces& pieces) {
          const std::string response = Send(pieces, true);
          ASSERT_TRUE(response.starts_with("HTTP/1.1 400")) << response;
          ASSERT_EQ(requests_, 0);
        });
  }
}

}  // namespace
}  // namespace peridotgate::runtime
