// Estimates a server's speed against its normal, from the timing of its calls.
#ifndef AGENT_SERVER_SPEED_H_
#define AGENT_SERVER_SPEED_H_

#include <chrono>
#include <cstdint>

#include "coordination/clock.h"

namespace peridotgate::agent {

/**
 * Slowness follows the gap between tokens quickly, and the time since any call
 * last made progress. The normal gap adapts slowly, and hardly at all while the
 * server is slow.
 */
class ServerSpeed {
 public:
  /** A decoding call gave a token, `gap` after its previous one. */
  void OnTokenGap(coordination::Duration gap, coordination::TimePoint now);

  /** A call gave its first token after computing `tokens` in `taken`. */
  void OnFirstToken(coordination::Duration taken, double tokens);

  /** Slowdown, at least 1. `busy`: some call is decoding. */
  double Slowness(coordination::TimePoint now, bool busy) const;

  /** Prefill time of one cache piece at normal speed. */
  coordination::Duration prefill_per_piece() const { return per_piece_; }
  /** Like `prefill_per_piece`, but 0 before the first observation. */
  coordination::Duration observed_prefill_per_piece() const {
    return prompts_observed_ > 0 ? per_piece_ : coordination::Duration(0);
  }

 private:
  // Floating point, since steps smaller than a clock tick must add up.
  std::chrono::duration<double, std::micro> normal_gap_{0};
  coordination::Duration recent_gap_{0};
  coordination::Duration per_piece_{50000};
  std::int32_t prompts_observed_ = 0;
  coordination::TimePoint last_progress_{};
};

}  // namespace peridotgate::agent

#endif  // AGENT_SERVER_SPEED_H_
