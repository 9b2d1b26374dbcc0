#include "runtime/body_reader.h"

#include <cstddef>
#include <string_view>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/read_size.hpp>
#include <boost/beast/http/error.hpp>

namespace peridotgate::runtime {
namespace {

constexpr auto kNoThrow = asio::as_tuple(asio::use_awaitable);
constexpr std::size_t kMaxReadBytes = 64 << 10;

}  // namespace

template <bool kIsRequest>
beast::error_code BodyReader<kIsRequest>::ParseSome(
    http::basic_parser<kIsRequest>& parser) {
  const std::string_view text(static_cast<const char*>(buf_.data().data()),
                              buf_.size());
  beast::error_code ec;
  const std::size_t part =
      parser.chunked() ? framing_.NextPart(text, ec) : text.size();
  if (ec) {
    return ec;
  }
  if (part == 0) {
    return http::error::need_more;
  }
  const std::size_t n = parser.put(asio::buffer(text.substr(0, part)), ec);
  framing_.Consume(n);
  buf_.consume(n);
  // An extension that is not closed at the end of its line.
  return ec == http::error::need_more ? http::error::bad_chunk_extension : ec;
}

template <bool kIsRequest>
asio::awaitable<beast::error_code> BodyReader<kIsRequest>::ReadSome(
    http::basic_parser<kIsRequest>& parser) {
  beast::error_code ec = ParseSome(parser);
  while (ec == http::error::need_more) {
    const std::size_t size = beast::read_size(buf_, kMaxReadBytes);
    if (size == 0) {
      co_return http::error::buffer_overflow;
    }
    auto [failed, n] =
        co_await stream_.async_read_some(buf_.prepare(size), kNoThrow);
    buf_.commit(n);
    if (failed == asio::error::eof) {
      parser.put_eof(ec);
      co_return ec;
    }
    ec = failed ? failed : ParseSome(parser);
  }
  co_return ec;
}

template class BodyReader<true>;
template class BodyReader<false>;

}  // namespace peridotgate::runtime
