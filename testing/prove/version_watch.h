// The versions that processes say are in force, a row for each life of a
// process: an answer may come after its sender was killed.
#ifndef TESTING_PROVE_VERSION_WATCH_H_
#define TESTING_PROVE_VERSION_WATCH_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace peridotgate::prove {

/** A version that was below one the same process had said before. */
struct VersionDecrease {
  std::int64_t from = 0;
  std::int64_t to = 0;
};

/**
 * Compares each version with the highest of the same life of a process.
 *
 *     const std::uint64_t life = watch.Life("entry-0");
 *     const std::int64_t version = co_await Ask("entry-0");
 *     if (const auto fall = watch.Note("entry-0", life, version)) { ... }
 */
class VersionMonitor {
 public:
  /** The life that a question asked now is about. */
  std::uint64_t Incarnation(const std::string& name) {
    return processes_[name].incarnation;
  }

  /** The process was killed and started; its version may begin anew. */
  void OnRestart(const std::string& name);

  /**
   * An answer to a question of `life`. One that crossed a restart may be of
   * either life and is held against neither.
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
