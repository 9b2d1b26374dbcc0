// Faults of a soak, dealt from a seed, in series and overlapping.
#ifndef TESTING_SOAK_SOAK_FAULTS_H_
#define TESTING_SOAK_SOAK_FAULTS_H_

#include <optional>
#include <random>
#include <span>
#include <string_view>

#include "soak/soak_fleet.h"

namespace peridotgate::soak {

/** Strikes a fleet. */
class SoakFaults {
 public:
  SoakFaults(SoakFleet& fleet, std::uint64_t seed)
      : fleet_(fleet), random_(seed) {}

  /** Deals faults for that long, then waits until the last one is over. */
  asio::awaitable<void> Storm(std::chrono::milliseconds time);

 private:
  using Fault = asio::awaitable<void> (SoakFaults::*)();
  struct Named {
    std::string_view name;
    Fault fault;
  };
  static std::span<const Named> All();

  asio::awaitable<void> Strike(Named fault);
  asio::awaitable<void> Pause(std::int64_t least_ms, std::int64_t most_ms);

  asio::awaitable<void> KillGateway();
  asio::awaitable<void> KillAllGateways();
  asio::awaitable<void> TerminateGateway();
  asio::awaitable<void> PauseGateway();
  asio::awaitable<void> ReloadGateway();
  asio::awaitable<void> CutGatewayFromStore();
  asio::awaitable<void> SilenceStoreConnections();
  asio::awaitable<void> StoreDown();
  asio::awaitable<void> StoreLosesAnswers();
  asio::awaitable<void> StoreForgets();
  asio::awaitable<void> CrashServer();
  asio::awaitable<void> CutServerConnections();
  asio::awaitable<void> SilenceServerConnections();
  asio::awaitable<void> ServerLeaves();
  asio::awaitable<void> NameWeights();

  /** A gateway that no other fault has in hand, or nothing. */
  std::optional<std::size_t> FreeGateway();
  ServerStandIn& AnyServer();

  SoakFleet& fleet_;
  std::mt19937_64 random_;
  int running_ = 0;
};

}  // namespace peridotgate::soak

#endif  // TESTING_SOAK_SOAK_FAULTS_H_
