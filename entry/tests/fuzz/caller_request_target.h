// Fuzz target: parsing a caller's HTTP request under the rules of one
// organisation.
#ifndef ENTRY_TESTS_FUZZ_CALLER_REQUEST_TARGET_H_
#define ENTRY_TESTS_FUZZ_CALLER_REQUEST_TARGET_H_

#include <string>
#include <string_view>
#include <vector>

#include <boost/asio/buffer.hpp>
#include <boost/beast/http/parser.hpp>

#include "caller_request.h"
#include "coordination/check.h"
#include "routing/prefix_keys.h"

namespace peridotgate::entry {

/** Checks that a request is refused as not run, or allowed by the rules. */
struct CallerRequestTarget {
  static std::vector<std::string> Seeds() {
    const std::string chat =
        R"({"model":"cutter","stream":true,"messages":)"
        R"([{"role":"user","content":"a coat"},{"role":"user","content":[1]}]})";
    const std::string prompt = R"({"model":"cutter","prompt":"a coat"})";
    return {
        Post("/v1/chat/completions", "X-Peridotgate-Kind: sketch\r\n", chat),
        Post("/v1/completions", "", prompt),
        Post("/v1/completions",
             "Last-Event-ID: 0123456789abcdef0123456789abcdef/"
             "127.0.0.1:7000/12\r\n",
             prompt),
        Post("/services/orders/1?x=y",
             "X-Peridotgate-Kind: order\r\nIdempotency-Key: k1\r\n", "{}")};
  }

  static void Run(std::string_view input) {
    namespace http = runtime::http;
    http::request_parser<http::string_body> parser;
    parser.eager(true);
    boost::beast::error_code ec;
    parser.put(boost::asio::buffer(input.data(), input.size()), ec);
    if (ec || !parser.is_done()) {
      return;
    }
    static const wire::OrganisationRules rules = Rules();
    Check(ReadCallerRequest(rules, parser.release()));
  }

 private:
  static std::string Post(std::string_view target,
                          std::string_view headers,
                          std::string_view body) {
    std::string text = "POST ";
    text.append(target).append(" HTTP/1.1\r\nHost: entry\r\n").append(headers);
    text.append("Content-Length: ").append(std::to_string(body.size()));
    return text.append("\r\n\r\n").append(body);
  }

  static wire::OrganisationRules Rules() {
    wire::KindRules sketch;
    sketch.name = "sketch";
    sketch.repeatable = true;
    sketch.target = "model:cutter";
    wire::KindRules order;
    order.name = "order";
    order.target = "service:orders";
    wire::OrganisationRules rules;
    rules.name = "tailors";
    rules.default_kind = "sketch";
    rules.kinds = {sketch, order};
    return rules;
  }

  static void Check(const coordination::Result<CallerRequest, Problem>& read) {
    if (!read) {
      PG_CHECK(read.error().outcome == wire::Outcome::kNotRun);
      PG_CHECK(read.error().status >= 400 && read.error().status < 500);
      return;
    }
    const wire::Dispatch& it = read.value().route.dispatch;
    PG_CHECK(it.organisation == "tailors");
    PG_CHECK(it.target ==
             (it.kind == "sketch" ? "model:cutter" : "service:orders"));
    PG_CHECK(it.repeatable || !it.idempotency_key.empty());
    PG_CHECK(it.prefix_keys.size() <= routing::kMaxPieces);
    if (read.value().route.resume) {
      PG_CHECK(read.value().route.resume->position > 0);
    }
  }
};

}  // namespace peridotgate::entry

#endif  // ENTRY_TESTS_FUZZ_CALLER_REQUEST_TARGET_H_
