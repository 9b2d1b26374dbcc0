// A complete fleet on loopback: stand-ins, agents and entries as real
// processes.
#ifndef TESTING_PROVE_TEST_FLEET_H_
#define TESTING_PROVE_TEST_FLEET_H_

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include "prove/child.h"
#include "prove/link_proxy.h"
#include "runtime/http.h"

namespace peridotgate::prove {

namespace asio = boost::asio;

/** Paths, ports, and the number and speed of processes to start. */
struct FleetOptions {
  std::string build;    // The build directory.
  std::string rules;    // The rules file in force at the start.
  std::string answers;  // The survey answers for those rules.
  std::string work;     // The directory for settings and logs.
  std::uint16_t base_port = 23000;
  std::uint64_t seed = 1;  // Seed of the proxies' faults.
  std::size_t engines = 2;
  std::size_t services = 1;
  std::size_t entries = 2;
  std::int64_t token_us = 3000;
  std::int64_t service_us = 5000;
  std::string crash_on;  // Prompts with this text crash engines.
};

/** Faults of the stand-in platform. */
struct PlatformFaults {
  bool down = false;
  bool lose_answers = false;
  std::int64_t delay_us = 0;
};

/** One agent with its server. Engines come first, then services. */
struct Backend {
  std::string agent_name;
  std::vector<std::string> agent_command;
  std::vector<std::string> server_command;
  Child agent;
  Child server;
  runtime::Endpoint server_address;
  runtime::Endpoint agent_address;
  runtime::Endpoint agent_operators;
  runtime::Endpoint proxy_address;
  std::unique_ptr<LinkProxy> proxy;  // Entries connect to the agent through it.
  bool leaving = false;
};

/** One entry. */
struct EntryProcess {
  std::string name;
  std::vector<std::string> command;
  Child process;
  runtime::Endpoint callers;
  runtime::Endpoint operators;
  std::unique_ptr<LinkProxy> proxy;  // Others connect to the entry through it.
};

/**
 * Starts the platform and backends in its constructor, the entries in
 * `WaitUntilReady`, and ends them all in its destructor.
 */
class TestFleet {
 public:
  TestFleet(asio::io_context& context, FleetOptions options);
  ~TestFleet();

  /** Starts all entries; returns whether they became ready in time. */
  asio::awaitable<bool> WaitUntilReady();
  /** Waits for one entry; returns whether it became ready in time. */
  asio::awaitable<bool> WaitUntilEntryReady(std::size_t index);

  void RestartAgent(std::size_t index);
  void RestartServer(std::size_t index);
  void RestartEntry(std::size_t index);

  /** Starts one more entry, which is not in the instance list. */
  void AddEntry();

  asio::awaitable<bool> SetPlatformFaults(PlatformFaults faults);

  /** Rewrites the instance list according to the `leaving` flags. */
  void WriteInstances();

  /** Returns the body of a GET, or an empty text unless the status is 200. */
  asio::awaitable<std::string> Get(runtime::Endpoint from, std::string path);

  std::vector<Backend>& backends() { return backends_; }
  std::vector<EntryProcess>& entries() { return entries_; }
  const FleetOptions& options() const { return options_; }
  /** The proxies of all agents and entries. */
  std::vector<LinkProxy*> Proxies();

  runtime::Endpoint platform() const { return platform_address_; }

 private:
  runtime::Endpoint AddressAt(std::size_t offset) const;
  std::string LogPath(const std::string& name) const;
  std::string WriteSettings(const std::string& name, const std::string& text);
  void StartPlatform();
  bool AllRunning();
  void StartBackend(std::size_t index);
  void StartEntry(std::size_t index);

  asio::io_context& context_;
  FleetOptions options_;
  runtime::Endpoint platform_address_;
  Child platform_;
  std::vector<Backend> backends_;
  std::vector<EntryProcess> entries_;
};

}  // namespace peridotgate::prove

#endif  // TESTING_PROVE_TEST_FLEET_H_
