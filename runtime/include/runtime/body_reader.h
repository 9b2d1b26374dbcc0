// Reads the bodies of HTTP messages; all clients and servers use it.
#ifndef RUNTIME_BODY_READER_H_
#define RUNTIME_BODY_READER_H_

#include <boost/asio/awaitable.hpp>
#include <boost/beast/core/error.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/basic_parser.hpp>

#include "runtime/chunk_framing.h"

namespace peridotgate::runtime {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

/**
 * Reads the body of the message whose head `parser` has read. Beast's parser
 * asserts that the framing of chunks arrives in certain units, which the
 * network does not guarantee, so it is only given complete lines and trailers.
 * Both arguments must outlive the reader.
 */
template <bool kIsRequest>
class BodyReader {
 public:
  BodyReader(beast::tcp_stream& stream, beast::flat_buffer& buf)
      : stream_(stream), buf_(buf) {}

  /**
   * Reads some of the body, at least one byte or its end. Bytes that follow the
   * message stay in the buffer. Fails with `buffer_overflow` if a line or the
   * trailers exceed the buffer, with other errors of Beast's HTTP category if
   * the body is malformed or too large, or with an error of the connection.
   */
  asio::awaitable<beast::error_code> ReadSome(
      http::basic_parser<kIsRequest>& parser);

  /** Does the same with the bytes in the buffer alone; fails with `need_more`
   * if they are not enough. */
  beast::error_code ParseSome(http::basic_parser<kIsRequest>& parser);

 private:
  beast::tcp_stream& stream_;
  beast::flat_buffer& buf_;
  ChunkFraming framing_;
};

using RequestBodyReader = BodyReader<true>;
using ResponseBodyReader = BodyReader<false>;

extern template class BodyReader<true>;
extern template class BodyReader<false>;

}  // namespace peridotgate::runtime

#endif  // RUNTIME_BODY_READER_H_
