// Splits a chunked body into the parts that a parser can take at once.
#ifndef RUNTIME_CHUNK_FRAMING_H_
#define RUNTIME_CHUNK_FRAMING_H_

#include <cstddef>
#include <cstdint>
#include <string_view>

#include <boost/beast/core/error.hpp>

namespace peridotgate::runtime {

namespace beast = boost::beast;

/**
 * Tracks the position in one chunked body (RFC 9112, section 7.1). A part is
 * either data of a chunk, or the complete line with its size, or the complete
 * last chunk with its trailers. A line includes the CRLF that ends the data
 * before it.
 */
class ChunkFraming {
 public:
  /**
   * The size of the part with which `buf` begins; 0 if it has not arrived
   * completely. `buf` follows the bytes that were consumed. Fails with errors
   * of Beast's HTTP category.
   */
  std::size_t NextPart(std::string_view buf, beast::error_code& ec);

  /** The parser took `n` bytes: a line, a last chunk, or some data. */
  void Consume(std::size_t n);

 private:
  std::size_t FindLastChunkEnd(std::string_view buf, std::size_t line_end);

  bool at_first_line_ = true;
  std::uint64_t data_left_ = 0;       // Of the current chunk.
  std::uint64_t next_data_size_ = 0;  // Of the line that was found last.
  // Where to continue the search for the ends of a line and of the trailers.
  std::size_t line_searched_ = 0;
  std::size_t trailers_searched_ = 0;
};

}  // namespace peridotgate::runtime

#endif  // RUNTIME_CHUNK_FRAMING_H_
