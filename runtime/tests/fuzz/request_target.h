// Fuzz target: requests that arrive in pieces at a server.
#ifndef RUNTIME_TESTS_FUZZ_REQUEST_TARGET_H_
#define RUNTIME_TESTS_FUZZ_REQUEST_TARGET_H_

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "coordination/check.h"
#include "http/message_seeds.h"
#include "http/piecewise.h"
#include "runtime/http.h"

namespace peridotgate::runtime {

/** Checks that the first request that is handled does not depend on the
 * pieces. */
class RequestTarget {
 public:
  static std::vector<std::string> Seeds() {
    return MessageSeeds("POST / HTTP/1.1\r\nHost: x\r\n");
  }

  static void Run(std::string_view input) {
    static RequestTarget target;
    const auto whole = target.Handled({input});
    PG_CHECK(target.Handled(RandomSplit(input)) == whole);
  }

 private:
  RequestTarget() {
    std::string error;
    PG_CHECK(server_.Listen({"127.0.0.1", 0}, error));
    client_.emplace(context_, Endpoint{"127.0.0.1", server_.port()});
  }

  std::optional<std::string> Handled(const Pieces& request) {
    first_.reset();
    (void)client_->Exchange(request, true);
    return first_;
  }

  asio::awaitable<void> Handle(HttpRequest request, HttpExchange& exchange) {
    if (!first_) {
      first_ = request.body();
    }
    auto response = MakeResponse(http::status::ok, request.body());
    co_await exchange.Send(std::move(response));
  }

  std::optional<std::string> first_;  // The body.
  asio::io_context context_;
  Metrics metrics_;
  HttpServer server_{context_,
                     {},
                     [this](HttpRequest request, HttpExchange& exchange) {
                       return Handle(std::move(request), exchange);
                     },
                     metrics_};
  std::optional<PiecewiseClient> client_;
};

}  // namespace peridotgate::runtime

#endif  // RUNTIME_TESTS_FUZZ_REQUEST_TARGET_H_
