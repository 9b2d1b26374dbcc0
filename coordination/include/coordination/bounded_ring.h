// A bounded lock-free queue for one producer and one consumer thread.
#ifndef COORDINATION_BOUNDED_RING_H_
#define COORDINATION_BOUNDED_RING_H_

#include <atomic>
#include <cstddef>
#include <new>
#include <optional>
#include <utility>
#include <vector>

#include "coordination/check.h"

namespace peridotgate::coordination {

/**
 * Holds at most `capacity` elements and never blocks. A full ring rejects the
 * element, and the producer decides whether to wait or to drop and count it.
 *
 *     BoundedRing<int> ring(64);
 *     if (!ring.TryPush(7)) { ++rejected; }
 *     std::optional<int> it = ring.TryPop();
 */
template <class T>
class BoundedRing {
 public:
  explicit BoundedRing(std::size_t capacity) : slots_(capacity + 1) {
    PG_CHECK(capacity > 0);
  }

  /** Producer only. Returns false and leaves `element` unchanged when full. */
  bool TryPush(T&& element) {
    const std::size_t tail = tail_.load(std::memory_order_relaxed);
    const std::size_t next = Next(tail);
    if (next == head_.load(std::memory_order_acquire)) {
      return false;
    }
    slots_[tail].emplace(std::move(element));
    tail_.store(next, std::memory_order_release);
    return true;
  }

  /** Consumer only. Returns nothing when the ring is empty. */
  std::optional<T> TryPop() {
    const std::size_t head = head_.load(std::memory_order_relaxed);
    if (head == tail_.load(std::memory_order_acquire)) {
      return std::nullopt;
    }
    std::optional<T> element(std::move(slots_[head]));
    slots_[head].reset();
    head_.store(Next(head), std::memory_order_release);
    return element;
  }

 private:
  static constexpr std::size_t kCacheLine = 64;

  std::size_t Next(std::size_t index) const {
    return index + 1 == slots_.size() ? 0 : index + 1;
  }

  std::vector<std::optional<T>> slots_;
  alignas(kCacheLine) std::atomic<std::size_t> head_{0};
  alignas(kCacheLine) std::atomic<std::size_t> tail_{0};
};

}  // namespace peridotgate::coordination

#endif  // COORDINATION_BOUNDED_RING_H_
