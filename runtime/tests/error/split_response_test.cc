// Responses whose bodies arrive in pieces of any size.
#include <optional>
#include <string>

#include <gtest/gtest.h>

#include "http/body_samples.h"
#include "http/piecewise.h"
#include "runtime/http.h"

namespace peridotgate::runtime {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kTimeout{2000};

class CollectingSink : public HttpSink {
 public:
  void OnHead(unsigned /*status*/, std::string_view /*type*/) override {}
  asio::awaitable<bool> OnData(std::string_view data) override {
    body += data;
    co_return true;
  }
  std::string body;
};

// The ways in which `HttpClient` reads a response.
enum class Reading { kWhole, kWithProgress, kStreamed };

class SplitResponse : public testing::TestWithParam<Reading> {
 protected:
  // The body that the client accepts as complete.
  std::optional<std::string> Receive(const Pieces& response, bool close) {
    std::optional<std::string> received;
    EXPECT_TRUE(server_.Serve(Read(received), response, close));
    return received;
  }

  static std::string Response(const BodySample& sample) {
    return "HTTP/1.1 200 OK\r\n" + sample.framing + "\r\n" + sample.bytes;
  }

 private:
  asio::awaitable<void> Read(std::optional<std::string>& received) {
    auto request = MakeRequest(http::verb::get, "/");
    if (GetParam() == Reading::kStreamed) {
      CollectingSink sink;
      const auto result = co_await client_.Stream(std::move(request), sink,
                                                  kTimeout, Connection::kKept);
      received = result ? std::optional(sink.body) : std::nullopt;
    } else if (GetParam() == Reading::kWhole) {
      const auto result = co_await client_.Fetch(std::move(request), kTimeout);
      received = result ? std::optional(result.value().body()) : std::nullopt;
    } else {
      const TransferLimits limits = WithProgress(kTimeout);
      const auto result = co_await client_.Fetch(std::move(request), limits);
      received = result ? std::optional(result.value().body()) : std::nullopt;
    }
  }

  asio::io_context context_;
  PiecewiseServer server_{context_};
  HttpClient client_{context_, server_.endpoint()};
};

// The process ended at an empty chunked body in three pieces.
TEST_P(SplitResponse, IsCompleteHoweverItsBodyArrives) {
  for (const BodySample& it : WellFormedBodies()) {
    const std::string response = Response(it);
    SCOPED_TRACE(response);
    ForEachSplit(response, response.size() - it.bytes.size(),
                 [&](const Pieces& pieces) {
                   ASSERT_EQ(Receive(pieces, false), it.body);
                 });
  }
}

TEST_P(SplitResponse, IsIncompleteWhereverItIsCut) {
  for (const BodySample& it : WellFormedBodies()) {
    const std::string response = Response(it);
    const std::size_t head = response.size() - it.bytes.size();
    SCOPED_TRACE(response);
    for (std::size_t cut = head; cut < response.size(); ++cut) {
      const std::string_view text = std::string_view(response).substr(0, cut);
      ForEachSplit(text, head, [&](const Pieces& pieces) {
        ASSERT_EQ(Receive(pieces, true), std::nullopt);
      });
    }
  }
}

TEST_P(SplitResponse, IsRejectedWhereItsFramingIsMalformed) {
  for (const BodySample& it : MalformedBodies()) {
    const std::string response = Response(it);
    SCOPED_TRACE(response);
    ForEachSplit(response, response.size() - it.bytes.size(),
                 [&](const Pieces& pieces) {
                   ASSERT_EQ(Receive(pieces, true), std::nullopt);
                 });
  }
}

INSTANTIATE_TEST_SUITE_P(Readings,
                         SplitResponse,
                         testing::Values(Reading::kWhole,
                                         Reading::kWithProgress,
                                         Reading::kStreamed));

}  // namespace
}  // namespace peridotgate::runtime
