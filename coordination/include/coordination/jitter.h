// Random jitter, so that periodic work of processes does not synchronise.
#ifndef COORDINATION_JITTER_H_
#define COORDINATION_JITTER_H_

#include <random>

#include "coordination/clock.h"
#include "coordination/peers.h"

namespace peridotgate::coordination {

/** A uniformly distributed duration of 0.5 to 1.5 times `period`. */
inline Duration Jittered(Duration period, RandomEngine& random) {
  std::uniform_int_distribution<std::int64_t> draw(period.count() / 2,
                                                   period.count() * 3 / 2);
  return Duration(draw(random));
}

}  // namespace peridotgate::coordination

#endif  // COORDINATION_JITTER_H_
