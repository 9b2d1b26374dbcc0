// Fuzz target: responses of backend servers that arrive in pieces.
#ifndef GATEWAY_TESTS_FUZZ_SERVER_RESPONSE_TARGET_H_
#define GATEWAY_TESTS_FUZZ_SERVER_RESPONSE_TARGET_H_

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "../server_responses.h"
#include "coordination/check.h"
#include "http/message_seeds.h"

namespace peridotgate::gateway {

/** Checks that what the gateway accepts does not depend on the pieces, and that
 * the exchange always finishes. */
struct ServerResponseTarget {
  static std::vector<std::string> Seeds() {
    std::vector<std::string> seeds =
        runtime::MessageSeeds("HTTP/1.1 200 OK\r\nId: own\r\n");
    for (const std::string& it :
         runtime::MessageSeeds("HTTP/1.1 200 OK\r\nId: other\r\n")) {
      seeds.push_back(it + seeds.front());
    }
    return seeds;
  }

  static void Run(std::string_view input) {
    const auto whole = Receive({input});
    PG_CHECK(Receive(runtime::RandomSplit(input)) == whole);
  }

 private:
  static std::optional<std::string> Receive(const runtime::Pieces& response) {
    static ServerResponses responses;
    bool finished = false;
    auto body = responses.Receive(response, true, finished);
    PG_CHECK(finished);
    return body;
  }
};

}  // namespace peridotgate::gateway

#endif  // GATEWAY_TESTS_FUZZ_SERVER_RESPONSE_TARGET_H_
