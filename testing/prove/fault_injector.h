// Faults dealt in an order drawn from the seed, each before any comes again.
#ifndef TESTING_PROVE_FAULT_INJECTOR_H_
#define TESTING_PROVE_FAULT_INJECTOR_H_

#include <array>
#include <cstddef>
#include <span>
#include <vector>

#include "prove/property.h"

namespace peridotgate::prove {

/** The faults of the datagrams to all processes. */
inline constexpr std::array kDatagramFaults = {
    Fault::kDatagramsDelayed, Fault::kDatagramsDuplicated,
    Fault::kDatagramsCrossed, Fault::kDatagramsLost};

/** Strikes the fleet with the given faults until the run is over. */
class FaultInjector {
 public:
  /** The kinds of seats whose agents and servers are struck. */
  enum class BackendKind { kEngines, kServices };

  FaultInjector(Run& run, std::vector<Fault> faults, BackendKind backends)
      : run_(run), backend_kind_(backends) {
    Add(faults);
  }

  /** Deals until the run is over, then waits for the fleet to be whole. */
  asio::awaitable<void> InjectUntilOver();

  /** Deals these as well. */
  void Add(std::span<const Fault> faults);

  /** From now on some faults come two at once, or the same one twice. */
  void EnablePairs();

  /** Deals one fault, or two at once, and pauses. */
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
  PlatformFaults platform_faults_;  // Those that stand now.
};

}  // namespace peridotgate::prove

#endif  // TESTING_PROVE_FAULT_INJECTOR_H_
