#include "runtime/gzip.h"

#include <zlib.h>

#include <boost/beast/core/string.hpp>
#include <boost/beast/http/rfc7230.hpp>

#include "coordination/check.h"

namespace peridotgate::runtime {
namespace {

namespace http = boost::beast::http;

// Most of the size reduction at the lowest CPU cost.
constexpr int kCompressionLevel = 1;
constexpr int kGzipWindowBits = 15 + 16;
constexpr int kMemoryLevel = 8;
constexpr std::size_t kInflateChunkBytes = 64 << 10;

// Whether the parameters of a content coding exclude it with "q=0".
bool HasZeroWeight(const http::param_list& parameters) {
  for (const auto& [name, value] : parameters) {
    if (name == "q") {
      return std::string_view(value).find_first_not_of("0.") ==
             std::string_view::npos;
    }
  }
  return false;
}

}  // namespace

std::string Gzip(std::string_view text) {
  z_stream stream{};
  PG_CHECK(deflateInit2(&stream, kCompressionLevel, Z_DEFLATED, kGzipWindowBits,
                        kMemoryLevel, Z_DEFAULT_STRATEGY) == Z_OK);
  std::string compressed(deflateBound(&stream, text.size()), '\0');
  stream.next_in = reinterpret_cast<Bytef*>(const_cast<char*>(text.data()));
  stream.avail_in = static_cast<uInt>(text.size());
  stream.next_out = reinterpret_cast<Bytef*>(compressed.data());
  stream.avail_out = static_cast<uInt>(compressed.size());
  PG_CHECK(deflate(&stream, Z_FINISH) == Z_STREAM_END);
  compressed.resize(stream.total_out);
  deflateEnd(&stream);
  return compressed;
}

std::optional<std::string> Gunzip(std::string_view compressed,
                                  std::size_t max_bytes) {
  z_stream stream{};
  PG_CHECK(inflateInit2(&stream, kGzipWindowBits) == Z_OK);
  stream.next_in =
      reinterpret_cast<Bytef*>(const_cast<char*>(compressed.data()));
  stream.avail_in = static_cast<uInt>(compressed.size());
  std::string text;
  int state = Z_OK;
  while (state == Z_OK && text.size() <= max_bytes) {
    const std::size_t size = text.size();
    text.resize(size + kInflateChunkBytes);
    stream.next_out = reinterpret_cast<Bytef*>(text.data() + size);
    stream.avail_out = static_cast<uInt>(kInflateChunkBytes);
    state = inflate(&stream, Z_NO_FLUSH);
    text.resize(size + kInflateChunkBytes - stream.avail_out);
  }
  inflateEnd(&stream);
  if (state != Z_STREAM_END || text.size() > max_bytes) {
    return std::nullopt;
  }
  return text;
}

bool AcceptsGzip(std::string_view accept_encoding) {
  for (const auto& [name, parameters] : http::ext_list(accept_encoding)) {
    if (boost::beast::iequals(name, "gzip")) {
      return !HasZeroWeight(parameters);
    }
  }
  return false;
}

}  // namespace peridotgate::runtime
