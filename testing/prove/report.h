// The report of a property run: requests, faults, checks, violations.
#ifndef TESTING_PROVE_REPORT_H_
#define TESTING_PROVE_REPORT_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace peridotgate::prove {

/** A kind of fault injected into a run. */
enum class Fault : std::size_t {
  kAgentKilled,
  kEntryKilled,
  kEngineKilled,
  kEnginePaused,
  kLinkCut,
  kPlatformDown,
  kPlatformSlow,
  kAnswerLost,
  kAgentDrained,
  kEntryDrained,
  kCallerGone,
  kCallerSlow,
  kRacingOperators,
  kHerdOfRestarts,
  kAgentPaused,
  kEntryPaused,
  kMarkedLeaving,
  kEngineSlow,
  kFramesDelayed,
  kFramesDuplicated,
  kFramesCrossed,
  kLinkHalfOpen,
  kTwoAtOnce,
  kSameTwice,
  kLateMessage,
  kDatagramsDelayed,
  kDatagramsDuplicated,
  kDatagramsCrossed,
  kDatagramsLost,
  kCount
};

std::string_view Name(Fault fault);

/** A named check, with the number of evaluations and failures. */
struct CheckCount {
  std::string name;
  std::uint64_t evaluated = 0;
  std::uint64_t failed = 0;
};

/**
 * The report of one run of one property. `Expect` names a fault that must occur
 * or a check that must be evaluated at least once; otherwise the run fails, as
 * it would prove nothing.
 */
class Report {
 public:
  explicit Report(std::string property) : property_(std::move(property)) {}

  void Expect(Fault fault);
  void Expect(std::string_view check);

  void AddRequest() { ++requests_; }
  /** Counts an outcome seen by callers, for information only. */
  void AddOutcome(std::string_view outcome, std::int64_t n = 1);
  void AddFault(Fault fault) { ++faults_[static_cast<std::size_t>(fault)]; }
  /** Records an evaluated check; keeps the details of the first few failures.
   */
  void Check(std::string_view name, bool good, std::string_view detail = "");

  /** Whether every expected fault occurred at least once. */
  bool all_faults_occurred() const;

  /** Whether no check failed and everything expected happened. */
  bool passed() const;

  /** The report as one line of JSON. */
  std::string ToJson(std::uint64_t seed) const;

 private:
  CheckCount& Find(std::vector<CheckCount>& counts, std::string_view name);

  std::string property_;
  std::uint64_t requests_ = 0;
  std::array<std::uint64_t, static_cast<std::size_t>(Fault::kCount)> faults_{};
  std::vector<Fault> expected_;
  std::vector<CheckCount> checks_;
  std::vector<CheckCount> outcomes_;
  std::vector<std::string> details_;
};

}  // namespace peridotgate::prove

#endif  // TESTING_PROVE_REPORT_H_
