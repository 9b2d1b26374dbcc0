// Routes calls: selects a server, dispatches the call and relays the answer.
#ifndef ENTRY_ROUTER_H_
#define ENTRY_ROUTER_H_

#include <memory>

#include "coordination/clock.h"
#include "entry/burn.h"
#include "entry/messages.h"
#include "runtime/duty.h"
#include "runtime/metrics.h"

namespace peridotgate::entry {

/** Runs on the router event-loop thread. */
class Router {
 public:
  Router(runtime::Duty& duty,
         const coordination::Clock& clock,
         runtime::Port<CallEvent>& events,
         runtime::Port<NewerRules>& newer_rules,
         BurnLog& burn,
         runtime::Metrics& metrics);
  ~Router();

  /**
   * Opens the UDP socket for probes at `peers`; on failure sets `error` and
   * returns false.
   */
  bool Listen(const runtime::Endpoint& peers, std::string& error);

  void OnCommand(RouterCommand command);
  /**
   * The recorded server choices of a request as text; empty if no longer kept.
   * Thread-safe.
   */
  std::string Explain(const Id128& request_id) const;
  /** A sample of recorded server choices as text. Thread-safe. */
  std::string Samples() const;

  void OnClusterView(const ClusterView& view);

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace peridotgate::entry

#endif  // ENTRY_ROUTER_H_
