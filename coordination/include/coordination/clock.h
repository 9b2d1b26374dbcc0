// A clock interface, so that tests and simulations can use virtual time.
#ifndef COORDINATION_CLOCK_H_
#define COORDINATION_CLOCK_H_

#include <chrono>

namespace peridotgate::coordination {

using Duration = std::chrono::microseconds;
using TimePoint = std::chrono::time_point<std::chrono::steady_clock, Duration>;

/** A monotonic clock. Implementations are safe to read from any thread. */
class Clock {
 public:
  virtual ~Clock() = default;
  virtual TimePoint Now() const = 0;
};

/** The monotonic clock of the system. */
class SteadyClock : public Clock {
 public:
  TimePoint Now() const override;
};

/**
 * A clock that advances only on request.
 *
 *     ManualClock clock;
 *     clock.Advance(std::chrono::seconds(3));
 */
class ManualClock : public Clock {
 public:
  TimePoint Now() const override { return now_; }
  void Advance(Duration by) { now_ += by; }

 private:
  TimePoint now_{};
};

}  // namespace peridotgate::coordination

#endif  // COORDINATION_CLOCK_H_
