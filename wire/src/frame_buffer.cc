#include "frame_buffer.h"

#include <span>
#include <utility>

namespace peridotgate::wire {
namespace {

// An empty buffer with more capacity than this frees its memory.
constexpr std::size_t kMaxRetainedBytes = 64 << 10;

}  // namespace

bool FrameBuffer::DecodeMessages(const OnMessage& on_message) {
  std::size_t offset = 0;
  bool more = true;
  while (more && bytes_.size() - offset >= kLengthBytes) {
    auto bytes = std::as_bytes(std::span(bytes_)).subspan(offset);
    auto length = DecodeLength(bytes.first<kLengthBytes>());
    if (!length) {
      return false;
    }
    if (bytes.size() < kLengthBytes + length.value()) {
      break;
    }
    auto message = Decode(bytes.subspan(kLengthBytes, length.value()));
    if (!message) {
      return false;
    }
    offset += kLengthBytes + length.value();
    more = on_message(std::move(message.value()));
  }
  bytes_.erase(0, offset);
  if (bytes_.empty() && bytes_.capacity() > kMaxRetainedBytes) {
    bytes_.shrink_to_fit();
  }
  return true;
}

}  // namespace peridotgate::wire
