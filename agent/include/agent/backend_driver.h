// Sends calls to the backend server and subscribes to its cache events.
#ifndef AGENT_BACKEND_DRIVER_H_
#define AGENT_BACKEND_DRIVER_H_

#include <memory>

#include "agent/messages.h"
#include "runtime/duty.h"
#include "runtime/http.h"

namespace peridotgate::agent {

/** Type of the backend server: a model engine or a plain service. */
enum class ServerKind { kEngine, kService };

/** Runs on the backend thread; reports to the peers thread by a channel. */
class BackendDriver {
 public:
  BackendDriver(runtime::Duty& duty,
                const runtime::Endpoint& server,
                ServerKind kind,
                runtime::Port<BackendReport>& reports,
                runtime::Metrics& metrics);
  ~BackendDriver();

  /** Subscribes to the cache events of a model engine. */
  void FollowCacheEvents();

  void OnCommand(BackendCommand command);

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace peridotgate::agent

#endif  // AGENT_BACKEND_DRIVER_H_
