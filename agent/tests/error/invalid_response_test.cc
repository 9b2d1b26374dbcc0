// Responses of an engine that HTTP does not allow: the call fails, and nothing
// of them goes on to an entry.
#include <string>

#include <gtest/gtest.h>

#include "../driven_call.h"
#include "standins/scripted_server.h"

namespace peridotgate::agent {
namespace {

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

}  // namespace
}  // namespace peridotgate::agent
