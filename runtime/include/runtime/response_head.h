// Reads and validates the heads of HTTP responses; all clients use it.
#ifndef RUNTIME_RESPONSE_HEAD_H_
#define RUNTIME_RESPONSE_HEAD_H_

#include <cstddef>
#include <cstdint>

#include <boost/asio/awaitable.hpp>
#include <boost/beast/core/error.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/basic_parser.hpp>

namespace peridotgate::runtime {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

/** Interim responses (1xx) that a client skips before the final one. */
inline constexpr int kMaxInterimResponses = 8;

/** Whether HTTP defines `status` as the status code of a final response, known
 * or not. */
constexpr bool IsFinalStatus(std::int64_t status) {
  return status >= 200 && status <= 599;
}

/**
 * Reads the head of the next response, interim or final, into the new `parser`.
 * Bytes after it stay in `buf`, whose limit must exceed `max_bytes`. Fails with
 * `end_of_stream` if the connection ended before the first byte, and with other
 * errors of Beast's HTTP category if it ended later or the head is malformed.
 * The contents of `parser` are valid only without an error.
 */
asio::awaitable<beast::error_code> ReadResponseHead(
    beast::tcp_stream& stream,
    beast::flat_buffer& buf,
    http::basic_parser<false>& parser,
    std::size_t max_bytes);

}  // namespace peridotgate::runtime

#endif  // RUNTIME_RESPONSE_HEAD_H_
