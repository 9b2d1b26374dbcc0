// Responses of an engine that HTTP does not allow, or that are cut off: the
// call fails.
#include <string>
#include <utility>

#include <gtest/gtest.h>
#include <boost/asio/socket_base.hpp>

#include "../../../runtime/tests/raw_server.h"
#include "../driven_call.h"
#include "standins/scripted_server.h"

namespace peridotgate::agent {
namespace {

namespace asio = boost::asio;
using standins::ScriptedAnswer;
using standins::ScriptedServer;

std::string Response(const std::string& status, const std::string& type) {
  const std::string body = "data: a\n\ndata: [DONE]\n\n";
  return "HTTP/1.1 " + status + "\r\nContent-Type: " + type +
         "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
         body;
}

wire::Dispatch MakeDispatch(bool repeatable) {
  wire::Dispatch dispatch;
  dispatch.body = "{}";
  dispatch.repeatable = repeatable;
  dispatch.streamed = true;
  return dispatch;
}

void ExpectFailure(const std::string& response) {
  for (const bool repeatable : {false, true}) {
    SCOPED_TRACE(response + (repeatable ? ", repeatable" : ""));
    ScriptedServer server([&](const std::string& /*request*/) {
      return ScriptedAnswer{response};
    });
    const DrivenCall call = DriveCall(server.port(), MakeDispatch(repeatable));
    EXPECT_FALSE(call.head);
    EXPECT_EQ(call.data, "");
    EXPECT_FALSE(call.ended);
    ASSERT_TRUE(call.failure);
    EXPECT_TRUE(call.failure->handed_over);
    EXPECT_FALSE(call.failure->crashed);
    EXPECT_LE(server.requests().size(), repeatable ? 2U : 1U);
  }
}

void ExpectSuccess(const std::string& response, int status) {
  SCOPED_TRACE(response);
  ScriptedServer server(
      [&](const std::string& /*request*/) { return ScriptedAnswer{response}; });
  const DrivenCall call = DriveCall(server.port(), MakeDispatch(false));
  ASSERT_TRUE(call.head);
  EXPECT_EQ(call.head->status, status);
  EXPECT_TRUE(call.ended);
}

TEST(InvalidEngineResponse, HasAStatusOutsideOfTheProtocol) {
  for (const std::string status : {"000", "001", "099", "600", "999"}) {
    for (const std::string type : {"application/json", "text/event-stream"}) {
      ExpectFailure(Response(status + " Odd", type));
    }
  }
}

TEST(InvalidEngineResponse, HasABlankOrAControlByteInAFieldName) {
  for (const std::string name : {" X-Other", "X Other", "X-Other ", "\tX-Other",
                                 "X-\x01Other", "X-Other\x7f"}) {
    for (const std::string type : {"application/json", "text/event-stream"}) {
      const std::string field = "\r\n" + name + ": b";
      ExpectFailure(Response("200 OK", type + field));
    }
  }
}

TEST(InvalidEngineResponse, IsNotOneWithAnUnknownStatusOrAfterInterimOnes) {
  const std::string interim =
      "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\n\r\n";
  for (const std::string& before : {std::string(), interim}) {
    for (const int status : {200, 299, 499, 599}) {
      ExpectSuccess(before + Response(std::to_string(status) + " Odd",
                                      "text/event-stream"),
                    status);
    }
  }
}

TEST(CutOffEngineResponse, HasNoLengthAndIsResetDuringTheUpload) {
  for (const std::string type : {"application/json", "text/event-stream"}) {
    for (const std::string status : {"200 OK", "500 Error"}) {
      for (const std::size_t upload : {std::size_t{2}, std::size_t{8} << 20}) {
        SCOPED_TRACE(type);
        SCOPED_TRACE(status);
        runtime::RawServer server(
            [&](runtime::RawServer::tcp::socket& socket, int /*request*/) {
              std::string response = "HTTP/1.1 " + status;
              response += "\r\nContent-Type: " + type;
              runtime::WriteRaw(socket, response + "\r\n\r\ndata: a\n\n");
              boost::system::error_code ignored;
              socket.set_option(asio::socket_base::linger(true, 0), ignored);
              socket.close(ignored);
            });
        wire::Dispatch dispatch = MakeDispatch(false);
        dispatch.body = std::string(upload, 'u');
        const DrivenCall call =
            DriveCall(server.endpoint().port, std::move(dispatch));
        EXPECT_FALSE(call.ended);
        ASSERT_TRUE(call.failure);
        EXPECT_TRUE(call.failure->handed_over);
      }
    }
  }
}

}  // namespace
}  // namespace peridotgate::agent
