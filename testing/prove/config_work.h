// Configuration changes under faults, and checks of the versions that processes
// report as in force.
#ifndef TESTING_PROVE_CONFIG_WORK_H_
#define TESTING_PROVE_CONFIG_WORK_H_

#include <cstdint>
#include <string>
#include <vector>

#include "prove/property.h"
#include "prove/version_watch.h"

namespace peridotgate::prove {

/** The outcome of `peridotgate apply`, by its exit status. */
enum class ApplyOutcome { kAccepted, kConflict, kUnknown };

/** The operators of one run and the version checks of all processes. */
class ConfigWorkload {
 public:
  explicit ConfigWorkload(Run& run) : run_(run) {}

  /** Sets the weights version for the following changes. */
  void SetWeights(std::int64_t version) { weights_version_ = version; }

  /** Generates rules unlike any earlier ones and applies them on `base`. */
  asio::awaitable<ApplyOutcome> Apply(std::int64_t base, std::string author);

  /** Two operators change the newest version at once; checks that one wins. */
  asio::awaitable<void> RaceOperators();

  /** Applies one change; checks that it propagates within the time bound. */
  asio::awaitable<void> ApplyAndWait();

  /** Waits until every process has `newest_version`; checks the time bound. */
  asio::awaitable<bool> WaitUntilPropagated();

  /** Polls all versions until the run is over; checks that none decreases. */
  asio::awaitable<void> WatchVersions();

  /** Notes that a process was restarted, so its version may start over. */
  void OnRestart(const std::string& name) { monitor_.OnRestart(name); }

  /** The newest accepted version. */
  std::int64_t newest_version() const { return newest_version_; }

  /** Reads the version in force from an operators' address; -1 on failure. */
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
