// The processes and stand-ins of one soak run: gateways are real processes,
// each of which reaches the store through its own proxy; backend servers are
// stand-ins behind proxies.
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

/** Parameters of a soak run. */
struct SoakOptions {
  std::string program;   // Path of the peridotgate binary.
  std::string work_dir;  // Directory for settings and logs.
  std::uint64_t seed = 1;
  std::chrono::seconds min_run_time{20};
  std::uint16_t first_port = 27000;
  std::size_t gateways = 4;
  std::size_t engines = 4;
  std::size_t plain_servers = 2;
};

/** One gateway process. */
struct GatewayProcess {
  runtime::Endpoint caller_endpoint;
  std::string settings_path;
  std::string log_path;
  std::unique_ptr<prove::LinkProxy> store_link;
  prove::Child child;
  bool expected_down = false;  // A fault has stopped or paused it.
};

/** Starts all gateways and stand-ins, and stops them on destruction. */
class SoakFleet {
 public:
  SoakFleet(asio::io_context& context,
            prove::Report& report,
            const SoakOptions& options);

  void StartGateway(std::size_t index);
  /**
   * Publishes rules that contain the route `/probe-VERSION/`, by which callers
   * can tell which version a gateway applies.
   */
  void PublishRules(std::int64_t version);
  void PublishWeights(std::int64_t version);
  /** The operator and the servers write their rows as they are now. */
  void WriteRowsAgain();
  /** Removes the rows of servers that are gone. */
  void ExpireServerRows();
  /** The weights version that was published last. */
  std::int64_t weights_version() const { return weights_version_; }

  /**
   * Record the start and the end of a fault. Faults may overlap;
   * `fault_free_since` is set when the last active one ends.
   */
  void BeginFault();
  void EndFault();

  std::vector<GatewayProcess>& gateways() { return gateways_; }
  std::vector<std::unique_ptr<ServerStandIn>>& servers() { return servers_; }
  RowStoreStandIn& store() { return store_; }
  SoakEnvironment& environment() { return environment_; }
  std::vector<runtime::Endpoint> caller_endpoints() const;

 private:
  void WriteSettings(std::size_t index);

  const SoakOptions& options_;
  runtime::Metrics metrics_;
  RowStoreStandIn store_;
  Ledger ledger_;
  SoakEnvironment environment_;
  runtime::HttpServer store_server_;
  std::vector<std::unique_ptr<ServerStandIn>> servers_;
  std::vector<GatewayProcess> gateways_;
  int active_faults_ = 0;
  std::int64_t rules_version_ = 0;
  std::int64_t weights_version_ = 1;
  SteadyTime fault_free_since_{};
};

}  // namespace peridotgate::soak

#endif  // TESTING_SOAK_SOAK_FLEET_H_
