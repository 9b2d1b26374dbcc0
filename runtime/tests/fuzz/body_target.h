// Fuzz target: bodies of requests and responses that arrive in pieces, without
// a network.
#ifndef RUNTIME_TESTS_FUZZ_BODY_TARGET_H_
#define RUNTIME_TESTS_FUZZ_BODY_TARGET_H_

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include "coordination/check.h"
#include "http/message_seeds.h"
#include "http/piecewise.h"
#include "runtime/body_reader.h"

namespace peridotgate::runtime {

/** Checks that the decoded body does not depend on the pieces. */
struct BodyTarget {
  static constexpr std::string_view kRequest = "POST / HTTP/1.1\r\nHost: x\r\n";
  static constexpr std::string_view kResponse = "HTTP/1.1 200 OK\r\n";

  static std::vector<std::string> Seeds() {
    std::vector<std::string> seeds = MessageSeeds(kRequest);
    for (std::string& it : MessageSeeds(kResponse)) {
      seeds.push_back(std::move(it));
    }
    return seeds;
  }

  static void Run(std::string_view input) {
    Compare<true>(input);
    Compare<false>(input);
  }

 private:
  template <bool kIsRequest>
  static void Compare(std::string_view input) {
    PG_CHECK(Decode<kIsRequest>({input}) ==
             Decode<kIsRequest>(RandomSplit(input)));
  }

  // The body, if the message is complete and well-formed.
  template <bool kIsRequest>
  static std::optional<std::string> Decode(const Pieces& pieces) {
    static asio::io_context context;
    beast::tcp_stream unused(context);
    beast::flat_buffer buf(64 << 10);
    http::parser<kIsRequest, http::string_body> parser;
    parser.body_limit(1 << 20);
    BodyReader<kIsRequest> body(unused, buf);
    for (const std::string_view it : pieces) {
      buf.commit(asio::buffer_copy(buf.prepare(it.size()),
                                   asio::buffer(it.data(), it.size())));
      beast::error_code ec = ParseHead(parser, buf);
      while (!ec && !parser.is_done()) {
        ec = body.ParseSome(parser);
      }
      if (ec && ec != http::error::need_more) {
        return std::nullopt;
      }
      if (parser.is_done()) {
        return parser.release().body();
      }
    }
    return std::nullopt;
  }

  template <class Parser>
  static beast::error_code ParseHead(Parser& parser, beast::flat_buffer& buf) {
    beast::error_code ec;
    if (!parser.is_header_done()) {
      buf.consume(parser.put(buf.data(), ec));
    }
    return ec;
  }
};

}  // namespace peridotgate::runtime

#endif  // RUNTIME_TESTS_FUZZ_BODY_TARGET_H_
