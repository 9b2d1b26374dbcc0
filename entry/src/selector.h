// Selects the server for one attempt: candidates, probes, choice.
#ifndef ENTRY_SELECTOR_H_
#define ENTRY_SELECTOR_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <set>
#include <string>

#include "coordination/clock.h"
#include "entry/messages.h"
#include "fleet.h"
#include "runtime/metrics.h"

namespace peridotgate::entry {

/** A server for one attempt, and what the choice relied on. */
struct SelectedServer {
  runtime::Endpoint agent;
  std::string instance;
  std::int64_t engine_incarnation = 0;
  std::int64_t weights_version = 0;
  std::chrono::microseconds predicted{0};
  std::int32_t priority = 0;  // For the engine; the least goes first.
};

/** The policy of one entry; runs on the router duty. */
class Selector {
 public:
  Selector(Fleet& fleet,
           const coordination::Clock& clock,
           runtime::Metrics& metrics);
  ~Selector();

  /** A server that is not in `refused_by`, or nothing. */
  asio::awaitable<std::optional<SelectedServer>> Select(
      const RouteCall& call,
      const std::set<std::string>& refused_by);

  /** A call came in: earns its part of a retry. */
  void OnCall(const RouteCall& call);

  /**
   * Whether another attempt may follow one that came to nothing. Refusals that
   * speak of one server only are not charged to the budgets.
   */
  bool MayRetry(const RouteCall& call,
                const std::optional<wire::Refusal>& refusal);

  /**
   * What was considered for a request of late and why, as text; empty when it
   * is no longer known. Any thread may ask.
   */
  std::string Explain(const Id128& request_id) const;

  /** The same for one decision in a thousand. Any thread may ask. */
  std::string Samples() const;

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace peridotgate::entry

#endif  // ENTRY_SELECTOR_H_
