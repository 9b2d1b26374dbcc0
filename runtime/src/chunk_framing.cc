#include "runtime/chunk_framing.h"

#include <algorithm>
#include <charconv>
#include <system_error>

#include <boost/beast/http/error.hpp>

namespace peridotgate::runtime {
namespace {

namespace http = beast::http;

constexpr std::string_view kLineEnd = "\r\n";
constexpr std::string_view kSectionEnd = "\r\n\r\n";

}  // namespace

std::size_t ChunkFraming::NextPart(std::string_view buf,
                                   beast::error_code& ec) {
  if (data_left_ > 0) {
    return std::min<std::uint64_t>(data_left_, buf.size());
  }
  const std::size_t begin = at_first_line_ ? 0 : kLineEnd.size();
  if (buf.size() < begin) {
    return 0;
  }
  if (!at_first_line_ && !buf.starts_with(kLineEnd)) {
    ec = http::error::bad_chunk;
    return 0;
  }
  const std::size_t end = buf.find('\r', std::max(begin, line_searched_));
  line_searched_ = std::min(end, buf.size());
  if (end == std::string_view::npos || end + 1 == buf.size()) {
    return 0;
  }
  if (buf[end + 1] != '\n') {
    ec = http::error::bad_line_ending;
    return 0;
  }
  constexpr int kHex = 16;
  const auto size = std::from_chars(buf.data() + begin, buf.data() + end,
                                    next_data_size_, kHex);
  if (size.ec != std::errc()) {
    ec = http::error::bad_chunk;
    return 0;
  }
  return next_data_size_ > 0 ? end + kLineEnd.size()
                             : FindLastChunkEnd(buf, end);
}

std::size_t ChunkFraming::FindLastChunkEnd(std::string_view buf,
                                           std::size_t line_end) {
  const std::size_t end =
      buf.find(kSectionEnd, std::max(line_end, trailers_searched_));
  if (end != std::string_view::npos) {
    return end + kSectionEnd.size();
  }
  trailers_searched_ =
      buf.size() - std::min(buf.size(), kSectionEnd.size() - 1);
  return 0;
}

void ChunkFraming::Consume(std::size_t n) {
  if (data_left_ > 0) {
    data_left_ -= n;
    return;
  }
  data_left_ = next_data_size_;
  at_first_line_ = false;
  line_searched_ = 0;
}

}  // namespace peridotgate::runtime
