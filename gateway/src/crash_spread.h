// Chooses which gateways are told what is known of crashed servers.
#ifndef GATEWAY_CRASH_SPREAD_H_
#define GATEWAY_CRASH_SPREAD_H_

#include <cstddef>
#include <cstdint>
#include <random>
#include <vector>

#include "coordination/crash_attribution.h"

namespace peridotgate::gateway {

/**
 * All peers are told what this gateway saw itself, a few random ones what it
 * heard or concluded and what still matters: datagrams get lost, and in a large
 * fleet not all gateways are peers. What a crash costs a gateway so does not
 * grow with the fleet.
 */
class CrashSpread {
 public:
  struct Messages {
    coordination::CrashFacts to_all;
    coordination::CrashFacts to_few;
    std::vector<std::size_t> few;  // Indices of the peers to tell.
  };

  explicit CrashSpread(std::uint64_t seed) : random_(seed) {}

  /** `current`: what still matters, or empty if it was told lately. */
  Messages Next(coordination::CrashNews news,
                coordination::CrashFacts current,
                std::size_t peers);

 private:
  std::mt19937_64 random_;
};

}  // namespace peridotgate::gateway

#endif  // GATEWAY_CRASH_SPREAD_H_
