// Injects faults in a random order from the seed; each fault is used once
// before any is repeated.
#ifndef TESTING_PROVE_FAULT_INJECTOR_H_
#define TESTING_PROVE_FAULT_INJECTOR_H_

#include <array>
#include <cstddef>
#include <span>
#include <vector>

#include "prove/property.h"

namespace peridotgate::prove {

/** Datagram faults, which affect all processes. */
inline constexpr std::array kDatagramFaults = {
    Fault::kDatagramsDelayed, Fault::kDatagramsDuplicated,
    Fault::kDatagramsCrossed, Fault::kDatagramsLost};

/** Injects the given faults into the fleet. */
class FaultInjector {
 public:
  /** The kind of backends whose agents and servers fail. */
  enum class BackendKind { kEngines, kServices };

  FaultInjector(Run& run, std::vector<Fault> faults, BackendKind backends)
      : run_(run), backend_kind_(backends) {
    Add(faults);
  }

  /** Injects faults until the run is over, then lets the fleet recover. */
  asio::awaitable<void> InjectUntilOver();

  /** Adds faults to inject, and expects each to occur. */
  void Add(std::span<const Fault> faults);

  /** Injects some faults in pairs from now on: two kinds, or one kind twice. */
  void EnablePairs();

  /** Injects one fault, or a pair, and then pauses. */
  asio::awaitable<void> InjectNext();

 private:
  Fault NextFault();
  asio::awaitable<void> InjectTwo(Fault fault);
  asio::awaitable<void> Inject(Fault fault);
  asio::awaitable<void> InjectBackendFault(Fault fault, std::size_t index);
  asio::awaitable<void> InjectLinkFault(Fault fault, LinkProxy& proxy);
  asio::awaitable<void> InjectDatagramFault(Fault fault);
  asio::awaitable<void> InjectPlatformFault(Fault fault);
  void SetPlatformFault(Fault fault, bool active);
  asio::awaitable<void> InjectEntryFault(Fault fault);
  asio::awaitable<void> Drain(Child& child);
  std::size_t RandomBackend();

  Run& run_;
  std::vector<Fault> faults_;
  std::vector<Fault> remaining_;
  BackendKind backend_kind_;
  bool inject_pairs_ = false;
  std::size_t injected_ = 0;
  PlatformFaults platform_faults_;  // Currently active.
};

}  // namespace peridotgate::prove

#endif  // TESTING_PROVE_FAULT_INJECTOR_H_
