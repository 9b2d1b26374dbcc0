// Routing decisions of one entry: which servers to probe and which to choose.
#ifndef ROUTING_SERVER_POLICY_H_
#define ROUTING_SERVER_POLICY_H_

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <span>
#include <vector>

#include "coordination/clock.h"
#include "routing/choice.h"
#include "routing/placement.h"

namespace peridotgate::routing {

/** Why a server was chosen. */
enum class ChoiceReason {
  kOnly,   // No other server was available.
  kHeld,   // It holds more of the prefix than the others.
  kWait,   // Another holds more, but waiting there costs more.
  kEqual,  // None holds more; it is predicted to answer first.
};

/** The name of `reason` in metrics and explanations. */
const char* ReasonName(ChoiceReason reason);

/** A choice and the reason for it. */
struct Decision {
  Choice choice;
  ChoiceReason reason = ChoiceReason::kOnly;
};

/**
 * Selects the candidate servers of a call and chooses among their probe
 * responses. Keeps the usage counts that one entry has observed. Not thread
 * safe.
 *
 *     ServerPolicy policy(clock);
 *     auto seats = policy.Plan(table, query, refused);
 *     ... probe the seats ...
 *     auto decision = policy.Decide(answers, query);
 */
class ServerPolicy {
 public:
  explicit ServerPolicy(const coordination::Clock& clock);
  ~ServerPolicy();

  /** Seats to probe, without those `excluded`. Counts a use of the call's
   * prefix. */
  std::vector<SeatIndex> Plan(const PlacementTable& table,
                              const RouteQuery& query,
                              std::span<const SeatIndex> excluded);

  /** Additional seats to probe if none of `servers` is good enough. */
  std::vector<SeatIndex> Widen(const PlacementTable& table,
                               const RouteQuery& query,
                               std::span<const ProbedServer> servers,
                               std::span<const SeatIndex> excluded) const;

  /** The server to use, or nothing if all are leaving. */
  std::optional<Decision> Decide(std::span<const ProbedServer> servers,
                                 const RouteQuery& query) const;

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace peridotgate::routing

#endif  // ROUTING_SERVER_POLICY_H_
