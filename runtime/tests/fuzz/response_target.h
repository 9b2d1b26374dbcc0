// Fuzz target: responses that arrive in pieces at a client.
#ifndef RUNTIME_TESTS_FUZZ_RESPONSE_TARGET_H_
#define RUNTIME_TESTS_FUZZ_RESPONSE_TARGET_H_

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "coordination/check.h"
#include "http/message_seeds.h"
#include "http/piecewise.h"
#include "runtime/http.h"

namespace peridotgate::runtime {

/** Checks that what the client accepts does not depend on the pieces, and that
 * it always finishes. */
struct ResponseTarget {
  static std::vector<std::string> Seeds() {
    return MessageSeeds("HTTP/1.1 200 OK\r\n");
  }

  static void Run(std::string_view input) {
    const auto whole = Receive({input});
    PG_CHECK(Receive(RandomSplit(input)) == whole);
  }

 private:
  static std::optional<std::string> Receive(const Pieces& response) {
    static asio::io_context context;
    static PiecewiseServer server(context);
    HttpClient client(context, server.endpoint());
    std::optional<std::string> body;
    PG_CHECK(server.Serve(Fetch(client, body), response, true));
    return body;
  }

  static asio::awaitable<void> Fetch(HttpClient& client,
                                     std::optional<std::string>& body) {
    auto request = MakeRequest(http::verb::get, "/");
    const auto result =
        co_await client.Fetch(std::move(request), std::chrono::seconds(2));
    body = result ? std::optional(result.value().body()) : std::nullopt;
  }
};

}  // namespace peridotgate::runtime

#endif  // RUNTIME_TESTS_FUZZ_RESPONSE_TARGET_H_
