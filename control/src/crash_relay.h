// Spreads what processes know of servers that crash on parts of requests:
// connects `CrashAttribution` to the wire, the membership and the metrics.
#ifndef CONTROL_CRASH_RELAY_H_
#define CONTROL_CRASH_RELAY_H_

#include <cstdint>
#include <functional>

#include "coordination/clock.h"
#include "coordination/crash_attribution.h"
#include "coordination/peers.h"
#include "runtime/metrics.h"
#include "wire/codec.h"

namespace peridotgate::control {

/**
 * Sends news to a few random members, which send on what was new to them, so
 * that all members have it after a number of ticks that grows with the
 * logarithm of their count. What still matters is repeated now and then, for
 * members that were missed or have just started. Use it only on the node's
 * io_context.
 */
class CrashRelay {
 public:
  using SendFunction = std::function<void(const coordination::PeerAddress& to,
                                          const wire::Message& message)>;

  CrashRelay(const coordination::PeerSource& peers,
             const coordination::Clock& clock,
             std::uint64_t seed,
             runtime::Metrics& metrics,
             SendFunction send);

  void OnFacts(const wire::CrashFacts& facts);

  /** Performs periodic work. Call about ten times a second. Returns whether
   * parts were quarantined or freed since the last call. */
  bool Tick();

  coordination::CrashAttribution& crashes() { return crashes_; }

 private:
  void Send(const coordination::CrashFacts& facts, std::size_t receivers);
  bool Report();

  const coordination::PeerSource& peers_;
  const coordination::Clock& clock_;
  coordination::RandomEngine random_;
  SendFunction send_;
  runtime::Gauge& quarantined_;
  coordination::CrashAttribution crashes_;
  coordination::CrashFacts last_news_;
  coordination::TimePoint next_repeat_{};
};

}  // namespace peridotgate::control

#endif  // CONTROL_CRASH_RELAY_H_
