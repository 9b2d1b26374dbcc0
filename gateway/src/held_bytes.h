// Limits the memory that incomplete responses of all requests use together.
#ifndef GATEWAY_HELD_BYTES_H_
#define GATEWAY_HELD_BYTES_H_

#include <cstddef>

namespace peridotgate::gateway {

/**
 * The bytes that one request holds, as part of a total. A faulty server that
 * sends without end uses the total up; small responses of others still fit,
 * since each request may always hold `kFreeBytes`.
 *
 *     HeldBytes held(parts.held_bytes, limit);
 *     if (!held.Add(piece.size())) { GiveUp(); }
 */
class HeldBytes {
 public:
  static constexpr std::size_t kFreeBytes = 16 << 10;

  HeldBytes(std::size_t& total, std::size_t limit)
      : total_(total), limit_(limit) {}
  ~HeldBytes() { total_ -= own_; }
  HeldBytes(const HeldBytes&) = delete;
  HeldBytes& operator=(const HeldBytes&) = delete;

  /** Adds `n` bytes; false if the request may not hold them. */
  bool Add(std::size_t n) {
    if (own_ + n > kFreeBytes && total_ + n > limit_) {
      return false;
    }
    own_ += n;
    total_ += n;
    return true;
  }

 private:
  std::size_t& total_;
  std::size_t limit_;
  std::size_t own_ = 0;
};

}  // namespace peridotgate::gateway

#endif  // GATEWAY_HELD_BYTES_H_
