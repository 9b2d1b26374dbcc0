// Selects the server for one attempt: finds candidates, probes them, chooses.
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

/**
 * The server chosen for one attempt, with the probe results that the choice
 * was based on.
 */
struct SelectedServer {
  runtime::Endpoint agent;
  std::string instance;
  std::int64_t engine_incarnation = 0;
  std::int64_t weights_version = 0;
  std::chrono::microseconds predicted{0};
  std::int32_t priority = 0;  // In the engine's queue; lowest first.
};

/** The server selection of one entry; runs on the router event-loop thread. */
class Selector {
 public:
  Selector(Fleet& fleet,
           const coordination::Clock& clock,
           runtime::Metrics& metrics);
  ~Selector();

  /** Selects a server not in `refused_by`; empty if there is none. */
  asio::awaitable<std::optional<SelectedServer>> Select(
      const RouteCall& call,
      const std::set<std::string>& refused_by);

  /** Credits the retry budget for a new call. */
  void OnCall(const RouteCall& call);

  /**
   * Whether another attempt may follow a failed one. A retry after a refusal
   * that concerns one server only is not charged to the retry budget.
   */
  bool MayRetry(const RouteCall& call,
                const std::optional<wire::Refusal>& refusal);

  /**
   * The recorded server choices of a recent request as text; empty if no longer
   * kept. Thread-safe.
   */
  std::string Explain(const Id128& request_id) const;

  /** A sample of one in a thousand choices as text. Thread-safe. */
  std::string Samples() const;

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace peridotgate::entry

#endif  // ENTRY_SELECTOR_H_
