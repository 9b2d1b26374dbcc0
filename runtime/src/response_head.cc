#include "runtime/response_head.h"

#include <algorithm>
#include <string_view>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/read_size.hpp>
#include <boost/beast/http/error.hpp>

namespace peridotgate::runtime {
namespace {

constexpr auto kNoThrow = asio::as_tuple(asio::use_awaitable);
constexpr std::string_view kHeadEnd = "\r\n\r\n";
constexpr std::size_t kMaxReadBytes = 64 << 10;

std::string_view TextOf(const beast::flat_buffer& buf) {
  return {static_cast<const char*>(buf.data().data()), buf.size()};
}

// Whether a line begins with a blank. The parser adds such a line to the value
// of the field before it (line folding, which HTTP/1.1 has deprecated). It may
// as well be a field of its own whose name begins with a blank, so that the
// framing of the body is not certain.
bool HasFoldedLine(std::string_view head) {
  return head.find("\r\n ") != std::string_view::npos ||
         head.find("\r\n\t") != std::string_view::npos;
}

// Rejects heads that the parser accepts, but that have no certain meaning.
beast::error_code CheckHead(std::string_view head) {
  constexpr std::size_t kStatusAt = std::string_view("HTTP/1.1 ").size();
  const char status_class = head[kStatusAt];
  if (status_class < '1' || status_class > '5') {
    return http::error::bad_status;
  }
  if (HasFoldedLine(head)) {
    return http::error::bad_obs_fold;
  }
  return {};
}

// Reads until `buf` contains a head; returns its size, with its end.
asio::awaitable<beast::error_code> Fill(beast::tcp_stream& stream,
                                        beast::flat_buffer& buf,
                                        std::size_t max_bytes,
                                        std::size_t& size) {
  std::size_t searched = 0;
  while (true) {
    const std::string_view text = TextOf(buf);
    const std::size_t end = text.find(kHeadEnd, searched);
    size = end == std::string_view::npos ? text.size() : end + kHeadEnd.size();
    if (size > max_bytes) {
      co_return http::error::header_limit;
    }
    if (end != std::string_view::npos) {
      co_return beast::error_code();
    }
    searched = text.size() - std::min(text.size(), kHeadEnd.size() - 1);
    const auto space = buf.prepare(beast::read_size(buf, kMaxReadBytes));
    auto [ec, n] = co_await stream.async_read_some(space, kNoThrow);
    buf.commit(n);
    if (ec == asio::error::eof) {
      co_return text.empty() ? http::error::end_of_stream
                             : http::error::partial_message;
    }
    if (ec) {
      co_return ec;
    }
  }
}

}  // namespace

asio::awaitable<beast::error_code> ReadResponseHead(
    beast::tcp_stream& stream,
    beast::flat_buffer& buf,
    http::basic_parser<false>& parser,
    std::size_t max_bytes) {
  std::size_t size = 0;
  beast::error_code ec = co_await Fill(stream, buf, max_bytes, size);
  if (ec) {
    co_return ec;
  }
  const std::string_view head = TextOf(buf).substr(0, size);
  parser.header_limit(static_cast<std::uint32_t>(max_bytes));
  const std::size_t used = parser.put(asio::buffer(head), ec);
  if (!ec) {
    ec = CheckHead(head);
  }
  buf.consume(used);
  co_return ec;
}

}  // namespace peridotgate::runtime
