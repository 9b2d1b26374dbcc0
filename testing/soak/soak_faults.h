// Injects faults, drawn from a seed, into a soak run. Faults may overlap.
#ifndef TESTING_SOAK_SOAK_FAULTS_H_
#define TESTING_SOAK_SOAK_FAULTS_H_

#include <optional>
#include <random>
#include <span>
#include <string_view>

#include "soak/soak_fleet.h"

namespace peridotgate::soak {

/** Injects faults into a fleet. */
class SoakFaults {
 public:
  SoakFaults(SoakFleet& fleet, std::uint64_t seed)
      : fleet_(fleet), random_(seed) {}

  /** Starts random faults for `time`, then waits until all have ended. */
  asio::awaitable<void> InjectFaults(std::chrono::milliseconds time);

 private:
  using Fault = asio::awaitable<void> (SoakFaults::*)();
  struct NamedFault {
    std::string_view name;
    Fault fault;
  };
  static std::span<const NamedFault> AllFaults();

  asio::awaitable<void> Inject(NamedFault fault);
  asio::awaitable<void> Pause(std::int64_t min_ms, std::int64_t max_ms);

  asio::awaitable<void> KillGateway();
  asio::awaitable<void> KillAllGateways();
  asio::awaitable<void> TerminateGateway();
  asio::awaitable<void> PauseGateway();
  asio::awaitable<void> ReloadGateway();
  asio::awaitable<void> CutGatewayFromStore();
  asio::awaitable<void> SilenceStoreConnections();
  asio::awaitable<void> TakeStoreDown();
  asio::awaitable<void> LoseStoreResponses();
  asio::awaitable<void> TrimStoreHistory();
  asio::awaitable<void> RestoreStore();
  asio::awaitable<void> CrashServer();
  asio::awaitable<void> CutServerConnections();
  asio::awaitable<void> SilenceServerConnections();
  asio::awaitable<void> DrainServer();
  asio::awaitable<void> PublishWeights();
  asio::awaitable<void> DelayOrder();
  asio::awaitable<void> LimitServer();

  /** A random gateway that no other fault has stopped or paused, if any. */
  std::optional<std::size_t> PickFreeGateway();
  ServerStandIn& PickServer();

  SoakFleet& fleet_;
  std::mt19937_64 random_;
  int running_faults_ = 0;
};

}  // namespace peridotgate::soak

#endif  // TESTING_SOAK_SOAK_FAULTS_H_
