// Detects decreases of the versions that processes report as in force. Restarts
// are told apart, as a reply may arrive after its sender was killed.
#ifndef TESTING_PROVE_VERSION_WATCH_H_
#define TESTING_PROVE_VERSION_WATCH_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace peridotgate::prove {

/** A reported version below an earlier one of the same process. */
struct VersionDecrease {
  std::int64_t from = 0;
  std::int64_t to = 0;
};

/**
 * Compares each version with the highest of the same process incarnation.
 *
 *     const std::uint64_t incarnation = monitor.Incarnation("entry-0");
 *     const std::int64_t version = co_await ReadVersion("entry-0");
 *     if (auto it = monitor.Observe("entry-0", incarnation, version)) { ... }
 */
class VersionMonitor {
 public:
  /** The current incarnation; read it before sending a request. */
  std::uint64_t Incarnation(const std::string& name) {
    return processes_[name].incarnation;
  }

  /** Notes that the process was restarted, so its version may start over. */
  void OnRestart(const std::string& name);

  /**
   * Records the reply to a request sent during `incarnation`. If the process
   * restarted in between, the reply may come from either incarnation and is
   * ignored.
   */
  std::optional<VersionDecrease> Observe(const std::string& name,
                                         std::uint64_t incarnation,
                                         std::int64_t version);

 private:
  struct Process {
    std::uint64_t incarnation = 0;
    std::int64_t highest = 0;
  };

  std::map<std::string, Process> processes_;
};

}  // namespace peridotgate::prove

#endif  // TESTING_PROVE_VERSION_WATCH_H_
