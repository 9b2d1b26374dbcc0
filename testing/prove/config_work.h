// Changes of the configuration under faults, and the versions that processes
// say are in force.
#ifndef TESTING_PROVE_CONFIG_WORK_H_
#define TESTING_PROVE_CONFIG_WORK_H_

#include <cstdint>
#include <string>
#include <vector>

#include "prove/property.h"
#include "prove/version_watch.h"

namespace peridotgate::prove {

/** How an `apply` ended, by its exit status. */
enum class ApplyOutcome { kAccepted, kConflict, kUnknown };

/** Operators of one run, and the watch over all processes. */
class ConfigWorkload {
 public:
  explicit ConfigWorkload(Run& run) : run_(run) {}

  /** The weights that the next changes ask for. */
  void SetWeights(std::int64_t version) { weights_version_ = version; }

  /** Generates rules that differ from all others and applies them on `base`. */
  asio::awaitable<ApplyOutcome> Apply(std::int64_t base, std::string author);

  /** Two operators at once on the newest version; checks that one wins. */
  asio::awaitable<void> RaceOperators();

  /** Applies one change; checks that it is everywhere within the bound. */
  asio::awaitable<void> ApplyAndWait();

  /** Waits until every process has `newest`; checks the time. */
  asio::awaitable<bool> WaitUntilPropagated();

  /** Reads every version until the run is over; checks that none falls. */
  asio::awaitable<void> WatchVersions();

  /** A process was started again: its version may begin anew. */
  void OnRestart(const std::string& name) { monitor_.OnRestart(name); }

  /** The newest version that was accepted. */
  std::int64_t newest_version() const { return newest_version_; }

  /** The version in force by an operators' address, or -1. */
  asio::awaitable<std::int64_t> ReadVersion(runtime::Endpoint operators);

 private:
  struct Process {
    std::string name;
    runtime::Endpoint operators;
  };

  std::vector<Process> Processes();
  asio::awaitable<void> ObserveProcess(Process process);

  Run& run_;
  std::int64_t weights_version_ = 0;
  std::int64_t newest_version_ = 1;
  std::uint64_t applies_ = 0;
  VersionMonitor monitor_;
};

}  // namespace peridotgate::prove

#endif  // TESTING_PROVE_CONFIG_WORK_H_
