#include "coordination/clock.h"

namespace peridotgate::coordination {

TimePoint SteadyClock::Now() const {
  return std::chrono::time_point_cast<Duration>(
      std::chrono::steady_clock::now());
}

}  // namespace peridotgate::coordination
