// The processes and stand-ins of one soak: gateways as real processes, each
// with its own way to the store, and backend servers behind proxies.
#ifndef TESTING_SOAK_SOAK_FLEET_H_
#define TESTING_SOAK_SOAK_FLEET_H_

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "prove/child.h"
#include "prove/link_proxy.h"
#include "soak/server_stand_in.h"

namespace peridotgate::soak {

/** What a run is made of. */
struct SoakOptions {
  std::string program;  // The peridotgate binary.
  std::string work;     // A folder for settings and logs.
  std::uint64_t seed = 1;
  std::chrono::seconds length{20};
  std::uint16_t port = 27000;
  std::size_t gateways = 4;
  std::size_t engines = 4;
  std::size_t plain = 2;
};

/** One gateway process. */
struct GatewayProcess {
  runtime::Endpoint callers;
  std::string settings;
  std::string log;
  std::unique_ptr<prove::LinkProxy> store;
  prove::Child child;
  bool expected_down = false;  // A fault has it in hand.
};

/** Starts all of them; ends them when destroyed. */
class SoakFleet {
 public:
  SoakFleet(asio::io_context& context,
            prove::Report& report,
            const SoakOptions& options);

  void StartGateway(std::size_t index);
  /** Names rules with a path of their own, `/probe-VERSION/`. */
  void NameRules(std::int64_t version);
  void NameWeights(std::int64_t version);
  /** The version that was named last. */
  std::int64_t weights() const { return weights_; }

  /** A fault begins or ends; between the last end and the next begin it is
   * calm. */
  void BeginFault();
  void EndFault();

  std::vector<GatewayProcess>& gateways() { return gateways_; }
  std::vector<std::unique_ptr<ServerStandIn>>& servers() { return servers_; }
  RowsStandIn& store() { return store_; }
  Surroundings& around() { return around_; }
  std::vector<runtime::Endpoint> callers() const;

 private:
  void WriteSettings(std::size_t index);

  const SoakOptions& options_;
  runtime::Metrics metrics_;
  RowsStandIn store_;
  Ledger ledger_;
  Surroundings around_;
  runtime::HttpServer store_server_;
  std::vector<std::unique_ptr<ServerStandIn>> servers_;
  std::vector<GatewayProcess> gateways_;
  int standing_ = 0;  // Faults.
  std::int64_t weights_ = 1;
  SteadyTime calm_since_{};
};

}  // namespace peridotgate::soak

#endif  // TESTING_SOAK_SOAK_FLEET_H_
