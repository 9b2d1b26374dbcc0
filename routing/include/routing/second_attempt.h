// Decides when an idempotent call without output is sent to a second server (a
// hedged request).
#ifndef ROUTING_SECOND_ATTEMPT_H_
#define ROUTING_SECOND_ATTEMPT_H_

#include <algorithm>
#include <chrono>
#include <cstdint>

namespace peridotgate::routing {

/** Limits on second attempts. */
struct SecondAttemptLimits {
  // Max. cost of second attempts, as a fraction of the cost of all calls.
  double budget = 0.04;
  double burst = 60000;      // Maximum saved budget, in tokens.
  double late_ratio = 0.03;  // Target fraction of calls past the delay.
  std::chrono::milliseconds min_delay{60};
  std::chrono::milliseconds max_delay{5000};
};

/**
 * Estimates the delay within which all but `late_ratio` of calls produce a
 * first token, beyond the predicted time. Calls earn the budget for second
 * attempts.
 *
 *     policy.OnFirstToken(predicted, taken);
 *     const auto delay = policy.Delay(predicted);
 *     ... after `delay` without output:
 *     if (policy.TryStart(cost)) { ... }
 */
class SecondAttemptPolicy {
 public:
  using Micros = std::chrono::microseconds;

  explicit SecondAttemptPolicy(SecondAttemptLimits limits = {})
      : limits_(limits), balance_(limits.burst) {}

  /** A call of `cost` tokens arrived. */
  void OnCall(double cost) {
    balance_ = std::min(limits_.burst, balance_ + cost * limits_.budget);
  }

  /** The first attempt of a call produced its first token after `taken`. */
  void OnFirstToken(Micros predicted, Micros taken) {
    const double late = static_cast<double>((taken - predicted).count());
    // The step sizes are in equilibrium when `late_ratio` of calls are later.
    const double step = kStep * std::max(excess_us_, kMinScaleUs);
    excess_us_ += late > excess_us_ ? step * (1 - limits_.late_ratio)
                                    : -step * limits_.late_ratio;
  }

  /** How long to wait for the first token before a second attempt. */
  Micros Delay(Micros predicted) const {
    const Micros delay =
        predicted + Micros(static_cast<std::int64_t>(excess_us_));
    return std::clamp<Micros>(delay, limits_.min_delay, limits_.max_delay);
  }

  /** Takes `cost` tokens from the budget; false if it has too few. */
  bool TryStart(double cost) {
    if (balance_ < cost) {
      return false;
    }
    balance_ -= cost;
    return true;
  }

 private:
  static constexpr double kStep = 0.2;
  static constexpr double kMinScaleUs = 20000;

  SecondAttemptLimits limits_;
  double balance_;
  double excess_us_ = 200000;
};

}  // namespace peridotgate::routing

#endif  // ROUTING_SECOND_ATTEMPT_H_
