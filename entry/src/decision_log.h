// Records how servers were chosen for recent calls, for operators.
#ifndef ENTRY_DECISION_LOG_H_
#define ENTRY_DECISION_LOG_H_

#include <cstddef>
#include <cstdint>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include "coordination/ids.h"
#include "routing/choice.h"
#include "routing/server_policy.h"

namespace peridotgate::entry {

/** One candidate server and its probe result. */
struct ConsideredServer {
  std::string instance;
  routing::ProbedServer probed;
  std::chrono::microseconds predicted{0};
};

/** One choice of a server, with its inputs. */
struct DecisionRecord {
  coordination::Id128 request_id;
  std::string target;
  std::string chosen;  // Empty if no server was available.
  routing::ChoiceReason reason = routing::ChoiceReason::kOnly;
  std::size_t pieces = 0;
  std::size_t probed_count = 0;  // `considered` holds those that answered.
  std::vector<ConsideredServer> considered;
};

/** `record` as lines of text. */
std::string Format(const DecisionRecord& record);

/**
 * Keeps the latest decisions, and a sample of one in a thousand for longer.
 * Thread-safe.
 *
 *     log.Add(record);
 *     std::string text = log.Explain(id);
 */
class DecisionLog {
 public:
  void Add(DecisionRecord record);

  /** All kept decisions of a request as text; empty if there are none. */
  std::string Explain(const coordination::Id128& request_id) const;

  /** The sampled decisions as text. */
  std::string Samples() const;

 private:
  static constexpr std::size_t kMaxRecent = 1024;
  static constexpr std::size_t kMaxSamples = 64;
  static constexpr std::uint64_t kSampleInterval = 1000;

  mutable std::mutex mutex_;
  std::vector<DecisionRecord> recent_;
  std::vector<DecisionRecord> sampled_;
  std::uint64_t added_ = 0;
};

}  // namespace peridotgate::entry

#endif  // ENTRY_DECISION_LOG_H_
