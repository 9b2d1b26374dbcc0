// The HTTP server for callers: reads requests, passes calls to the router and
// writes the answers.
#ifndef ENTRY_CALLER_SERVER_H_
#define ENTRY_CALLER_SERVER_H_

#include <memory>
#include <string>

#include "coordination/clock.h"
#include "entry/burn.h"
#include "entry/messages.h"
#include "entry/settings.h"
#include "runtime/duty.h"
#include "runtime/http.h"
#include "runtime/metrics.h"

namespace peridotgate::entry {

/** Runs on the callers event-loop thread. */
class CallerServer {
 public:
  CallerServer(runtime::Duty& duty,
               const EntrySettings& settings,
               const coordination::Clock& clock,
               runtime::Port<RouterCommand>& commands,
               BurnLog& burn,
               runtime::Metrics& metrics);
  ~CallerServer();

  bool Listen(const runtime::Endpoint& endpoint, std::string& error);
  void OnEvent(CallEvent event);
  void OnClusterView(ClusterView view);

  /** Closes each connection after its next response from now on. */
  void DisableKeepAlive();
  /** Closes the listening socket; open requests continue. Requests that come
   * later, on open connections, are only taken if all of their time is left
   * before `end`, when the process stops. */
  void StopAccepting(coordination::TimePoint end);
  /** Ends the calls that are still open: tells their callers what is known. */
  void EndCalls();
  std::size_t open_requests() const;

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace peridotgate::entry

#endif  // ENTRY_CALLER_SERVER_H_
