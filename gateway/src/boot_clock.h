// A clock that keeps running while the machine is suspended. Used for leases: a
// holder that was suspended must see that its lease expired.
#ifndef GATEWAY_BOOT_CLOCK_H_
#define GATEWAY_BOOT_CLOCK_H_

#include <ctime>

#include "coordination/clock.h"

namespace peridotgate::gateway {

/** CLOCK_BOOTTIME as a clock. */
class BootClock : public coordination::Clock {
 public:
  coordination::TimePoint Now() const override {
    timespec now{};
    ::clock_gettime(CLOCK_BOOTTIME, &now);
    const auto time = std::chrono::seconds(now.tv_sec) +
                      std::chrono::nanoseconds(now.tv_nsec);
    return coordination::TimePoint(
        std::chrono::duration_cast<coordination::Duration>(time));
  }
};

}  // namespace peridotgate::gateway

#endif  // GATEWAY_BOOT_CLOCK_H_
