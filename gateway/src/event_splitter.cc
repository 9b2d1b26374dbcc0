#include "event_splitter.h"

#include <algorithm>

namespace peridotgate::gateway {
namespace {

constexpr std::string_view kId = "id:";

// The end of the first event after `from`: past an empty line. Lines end with
// LF or CRLF.
std::size_t FindEnd(std::string_view buf, std::size_t from) {
  std::size_t end = from;
  while ((end = buf.find('\n', end)) != std::string_view::npos) {
    ++end;
    if (end < buf.size() && buf[end] == '\n') {
      return end + 1;
    }
    if (end + 1 < buf.size() && buf[end] == '\r' && buf[end + 1] == '\n') {
      return end + 2;
    }
  }
  return std::string_view::npos;
}

std::string_view FindId(std::string_view event) {
  std::size_t begin = 0;
  while (begin < event.size()) {
    std::size_t end = event.find('\n', begin);
    end = end == std::string_view::npos ? event.size() : end;
    std::string_view line = event.substr(begin, end - begin);
    if (line.ends_with('\r')) {
      line.remove_suffix(1);
    }
    if (line.starts_with(kId)) {
      line.remove_prefix(kId.size());
      line.remove_prefix(line.starts_with(' ') ? 1 : 0);
      return line;
    }
    begin = end + 1;
  }
  return {};
}

}  // namespace

void EventSplitter::Feed(std::string_view piece) {
  buf_.erase(0, offset_);
  scanned_ -= std::min(scanned_, offset_);
  offset_ = 0;
  buf_.append(piece);
}

std::optional<WholeEvent> EventSplitter::Next() {
  const std::size_t end = FindEnd(buf_, std::max(offset_, scanned_));
  if (end == std::string::npos) {
    // The last bytes may be the first half of an empty line.
    constexpr std::size_t kOverlap = 3;
    scanned_ = std::max(offset_, buf_.size() - std::min(buf_.size(), kOverlap));
    return std::nullopt;
  }
  const auto bytes = std::string_view(buf_).substr(offset_, end - offset_);
  offset_ = end;
  scanned_ = end;
  return WholeEvent{bytes, FindId(bytes)};
}

bool EventSplitter::inside_event() const {
  std::string_view left = rest();
  while (!left.empty()) {
    const std::size_t end = left.find_first_of("\r\n");
    if (end != 0 && left.front() != ':') {
      return true;
    }
    left.remove_prefix(end == std::string_view::npos ? left.size() : end + 1);
  }
  return false;
}

}  // namespace peridotgate::gateway
