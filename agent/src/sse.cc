#include "sse.h"

#include <utility>

namespace peridotgate::agent {
namespace {

constexpr std::string_view kLineEnds = "\r\n";
constexpr std::string_view kByteOrderMark = "\xEF\xBB\xBF";
constexpr std::string_view kData = "data";

}  // namespace

std::optional<std::string> SseSplitter::Next() {
  while (const auto line = NextLine()) {
    if (!line->empty()) {
      ParseField(*line);
      continue;
    }
    if (auto event = TakeEvent()) {
      return event;
    }
  }
  buf_.erase(0, offset_);
  scanned_ -= offset_;
  offset_ = 0;
  return std::nullopt;
}

// The next complete line without its line end. A CR ends a line at once, since
// an LF that belongs to it may arrive much later.
std::optional<std::string_view> SseSplitter::NextLine() {
  if (after_cr_ && offset_ < buf_.size()) {
    offset_ += buf_[offset_] == '\n' ? 1 : 0;
    scanned_ = offset_;
    after_cr_ = false;
  }
  const std::size_t end = buf_.find_first_of(kLineEnds, scanned_);
  if (end == std::string::npos) {
    scanned_ = buf_.size();
    return std::nullopt;
  }
  auto line = std::string_view(buf_).substr(offset_, end - offset_);
  after_cr_ = buf_[end] == '\r';
  offset_ = end + 1;
  scanned_ = offset_;
  if (std::exchange(first_line_, false) && line.starts_with(kByteOrderMark)) {
    line.remove_prefix(kByteOrderMark.size());
  }
  return line;
}

void SseSplitter::ParseField(std::string_view line) {
  const std::size_t colon = line.find(':');
  if (line.substr(0, colon) != kData) {
    return;
  }
  if (colon != std::string_view::npos) {
    line.remove_prefix(colon + 1);
    line.remove_prefix(line.starts_with(' ') ? 1 : 0);
    data_ += line;
  }
  data_ += '\n';
}

std::optional<std::string> SseSplitter::TakeEvent() {
  if (data_.empty()) {
    return std::nullopt;
  }
  data_.pop_back();
  return std::exchange(data_, {});
}

}  // namespace peridotgate::agent
