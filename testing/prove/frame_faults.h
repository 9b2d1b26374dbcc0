// Simulates a faulty link for the frames of one direction.
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

/** A kind of frame disturbance, active until changed. */
enum class FrameFault { kNone, kDelayed, kDuplicated, kReordered };

/** The unit of a link's data that faults apply to. */
enum class LinkUnit {
  kFrames,  // Of the project's wire protocol.
  kBytes,   // Of another protocol, where only delays make sense.
};

/**
 * Splits a byte stream into frames and schedules their forwarding: immediately,
 * late but in order, duplicated, or after later frames.
 *
 *     faults.Enqueue(bytes, FrameFault::kReordered, now);
 *     faults.PopDue(now, out);
 */
class FrameFaults {
 public:
  using TimePoint = std::chrono::steady_clock::time_point;

  explicit FrameFaults(std::uint64_t seed, LinkUnit unit = LinkUnit::kFrames)
      : unit_(unit), random_(seed) {}

  /** Adds received bytes; returns how many frames were disturbed. */
  std::size_t Enqueue(std::string_view bytes, FrameFault fault, TimePoint now);

  /** Moves the frames that are due to the end of `out`. */
  void PopDue(TimePoint now, std::string& out);

  /** Whether no complete frame is held. */
  bool empty() const { return held_.empty(); }

 private:
  bool EnqueueFrame(std::string frame, FrameFault fault, TimePoint now);
  std::chrono::milliseconds DrawDelay(std::chrono::milliseconds max_delay);

  LinkUnit unit_;
  std::mt19937_64 random_;
  std::string incomplete_;
  std::multimap<TimePoint, std::string> held_;
  TimePoint in_order_until_;  // Due time of the last delayed frame.
};

}  // namespace peridotgate::prove

#endif  // TESTING_PROVE_FRAME_FAULTS_H_
