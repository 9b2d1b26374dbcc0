// Responses of servers whose bodies arrive in pieces of any size.
#include <optional>
#include <string>

#include <gtest/gtest.h>

#include "../server_responses.h"
#include "http/body_samples.h"

namespace peridotgate::gateway {
namespace {

using runtime::BodySample;
using runtime::ForEachSplit;
using runtime::Pieces;

class SplitServerResponse : public testing::Test {
 protected:
  std::optional<std::string> Receive(const Pieces& response, bool close) {
    bool finished = false;
    auto body = responses_.Receive(response, close, finished);
    EXPECT_TRUE(finished);
    return body;
  }

  static std::string Response(const BodySample& sample,
                              const std::string& id = "own") {
    return "HTTP/1.1 200 OK\r\nId: " + id + "\r\n" + sample.framing + "\r\n" +
           sample.bytes;
  }

  ServerResponses responses_;
};

// The process ended at an empty chunked body in three pieces.
TEST_F(SplitServerResponse, IsCompleteHoweverItsBodyArrives) {
  for (const BodySample& it : runtime::WellFormedBodies()) {
    const std::string response = Response(it);
    SCOPED_TRACE(response);
    ForEachSplit(response, response.size() - it.bytes.size(),
                 [&](const Pieces& pieces) {
                   ASSERT_EQ(Receive(pieces, false), it.body);
                 });
  }
}

TEST_F(SplitServerResponse, IsFoundAfterThoseToOtherRequests) {
  for (const BodySample& it : runtime::WellFormedBodies()) {
    const std::string other = Response(it, "other");
    const std::string text =
        other + Response({"Content-Length: 2\r\n", "ok", ""});
    SCOPED_TRACE(text);
    ForEachSplit(
        text, other.size() - it.bytes.size(),
        [&](const Pieces& pieces) { ASSERT_EQ(Receive(pieces, false), "ok"); });
  }
}

// The request waited for its deadline.
TEST_F(SplitServerResponse, FailsAtOnceAfterAnotherThatEndsTheConnection) {
  const auto start = std::chrono::steady_clock::now();
  EXPECT_EQ(Receive({Response({"", "hello", ""}, "other")}, true),
            std::nullopt);
  EXPECT_LT(std::chrono::steady_clock::now() - start,
            ServerResponses::kTimeout);
}

TEST_F(SplitServerResponse, IsIncompleteWhereverItIsCut) {
  for (const BodySample& it : runtime::WellFormedBodies()) {
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

TEST_F(SplitServerResponse, IsRejectedWhereItsFramingIsMalformed) {
  for (const BodySample& it : runtime::MalformedBodies()) {
    const std::string response = Response(it);
    SCOPED_TRACE(response);
    ForEachSplit(response, response.size() - it.bytes.size(),
                 [&](const Pieces& pieces) {
                   ASSERT_EQ(Receive(pieces, true), std::nullopt);
                 });
  }
}

}  // namespace
}  // namespace peridotgate::gateway
