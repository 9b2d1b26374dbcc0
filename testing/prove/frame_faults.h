// What a faulty link does to the frames that cross it in one direction.
#ifndef TESTING_PROVE_FRAME_FAULTS_H_
#define TESTING_PROVE_FRAME_FAULTS_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <random>
#include <string>
#include <string_view>

namespace peridotgate::prove {

/** A disturbance of frames, kept up for a while. */
enum class FrameFault { kNone, kDelayed, kDuplicated, kReordered };

/** What a link carries. */
enum class LinkUnit {
  kFrames,  // Of our own protocol.
  kBytes,   // Of another one: only delays make sense.
};

/**
 * Cuts a byte stream into frames of our protocol and says when each is passed
 * on: at once, late but in order, a second time, or after its successors.
 *
 *     faults.Take(bytes, FrameFault::kCrossed, now);
 *     faults.Release(now, out);
 */
class FrameFaults {
 public:
  using TimePoint = std::chrono::steady_clock::time_point;

  explicit FrameFaults(std::uint64_t seed, LinkUnit unit = LinkUnit::kFrames)
      : unit_(unit), random_(seed) {}

  /** Takes bytes as read; how many frames were disturbed. */
  std::size_t Enqueue(std::string_view bytes, FrameFault fault, TimePoint now);

  /** Appends the frames that are due to `out`. */
  void PopDue(TimePoint now, std::string& out);

  /** Whether no frame is held back. */
  bool empty() const { return held_.empty(); }

 private:
  bool EnqueueFrame(std::string frame, FrameFault fault, TimePoint now);
  std::chrono::milliseconds DrawDelay(std::chrono::milliseconds max_delay);

  LinkUnit unit_;
  std::mt19937_64 random_;
  std::string incomplete_;
  std::multimap<TimePoint, std::string> held_;
  TimePoint in_order_until_;  // Nothing delayed may be overtaken before.
};

}  // namespace peridotgate::prove

#endif  // TESTING_PROVE_FRAME_FAULTS_H_
