// Interface of the server selection policies that the bench compares.
#ifndef TESTING_BENCH_POLICY_ENTRY_POLICY_H_
#define TESTING_BENCH_POLICY_ENTRY_POLICY_H_

#include <memory>
#include <optional>
#include <span>
#include <string>
#include <vector>

#include "bench/policy/server_queue.h"
#include "routing/choice.h"
#include "routing/second_attempt.h"

namespace peridotgate::bench {

using routing::SeatIndex;

/** Selects among the servers of one target, for one entry. */
class EntryPolicy {
 public:
  virtual ~EntryPolicy() = default;

  /**
   * Candidate seats, best first and without those in `excluded`. A policy that
   * doesn't probe uses the first.
   */
  virtual std::vector<SeatIndex> Plan(const routing::RouteQuery& query,
                                      std::span<const SeatIndex> excluded) = 0;

  /** Whether `Choose` needs probe replies. */
  virtual bool needs_probes() const { return false; }

  /** Further seats to probe, given the replies of the first. */
  virtual std::vector<SeatIndex> Widen(
      const routing::RouteQuery& /*query*/,
      std::span<const routing::ProbedServer> /*servers*/,
      std::span<const SeatIndex> /*excluded*/) {
    return {};
  }

  virtual std::optional<routing::Choice> Choose(
      std::span<const routing::ProbedServer> /*servers*/,
      const routing::RouteQuery& /*query*/) {
    return std::nullopt;
  }

  virtual void OnSent(SeatIndex /*seat*/) {}
  virtual void OnDone(SeatIndex /*seat*/) {}

  /** Records a new call of an organisation. */
  virtual void OnRequest(const std::string& /*organisation*/,
                         double /*tokens*/) {}
  /** Whether a refused or failed attempt may be retried. */
  virtual bool MayRetry(const std::string& /*organisation*/, int attempts) {
    constexpr int kMaxAttempts = 6;
    return attempts < kMaxAttempts;
  }
  /** Null when the policy makes no second attempts. */
  virtual routing::SecondAttemptPolicy* second_attempts() { return nullptr; }
};

/** Name and factories of a policy under comparison. */
struct PolicyParts {
  std::string name;
  std::unique_ptr<EntryPolicy> (*make_entry)(
      const coordination::Clock& clock,
      std::span<const routing::ServerSeat> seats,
      std::size_t entry);
  std::unique_ptr<ServerQueue> (*make_queue)(const coordination::Clock& clock);
};

/** All policies: baselines first, `current` last. */
std::span<const PolicyParts> AllPolicies();

}  // namespace peridotgate::bench

#endif  // TESTING_BENCH_POLICY_ENTRY_POLICY_H_
