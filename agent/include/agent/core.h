// The agent's decisions: admission, fair queueing, claims and response streams.
// Does no I/O: effects go out through `AgentOutputs`, and the clock is passed
// in.
#ifndef AGENT_CORE_H_
#define AGENT_CORE_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <unordered_set>

#include "agent/messages.h"
#include "coordination/clock.h"
#include "coordination/configuration_follower.h"
#include "coordination/crash_attribution.h"
#include "runtime/metrics.h"
#include "wire/codec.h"

namespace peridotgate::agent {

/** Identifies the link that a message arrived on. */
using LinkNumber = std::uint64_t;

/** Identity and limits of one agent. */
struct AgentLimits {
  std::string instance;
  std::int64_t incarnation = 0;  // Differs for each process of this agent.
  std::int32_t slots = 16;       // Maximum concurrent calls in the server.
  std::size_t queued = 4096;     // Maximum waiting calls.
  std::size_t retained_bytes = 32 << 20;
  std::size_t recent_reply_bytes = 8 << 20;
  // Largest response stored in its claim row.
  std::size_t kept_result_bytes = 256 << 10;
  // Largest response stored as an object.
  std::size_t kept_object_bytes = 8 << 20;
  std::size_t revocations = 65536;
  std::chrono::milliseconds revocation_retention{600000};
  std::chrono::milliseconds ended_retention{60000};
  std::chrono::milliseconds detached_grace{10000};
};

/** Effects that `AgentCore` requests from its process. */
class AgentOutputs {
 public:
  virtual ~AgentOutputs() = default;
  virtual void Reply(LinkNumber link, const wire::Message& message) = 0;
  /** Returns false if the channel to the backend thread is full. */
  virtual bool SendBackend(BackendCommand command) = 0;
  /** Returns false if the channel to the platform thread is full. */
  virtual bool SendPlatform(PlatformCommand command) = 0;
};

/** All requests of one agent. Runs on the peers thread only. */
class AgentCore {
 public:
  AgentCore(const coordination::Clock& clock,
            AgentLimits limits,
            AgentOutputs& outputs,
            runtime::Metrics& metrics);
  ~AgentCore();

  void OnDispatch(LinkNumber from, wire::Dispatch dispatch);
  void OnCancel(LinkNumber from, const wire::Cancel& cancel);
  void OnAttach(LinkNumber from, const wire::Attach& attach);
  void OnCredit(LinkNumber from, const wire::StreamCredit& credit);
  void OnLinkClosed(LinkNumber link);
  void OnBackendEvent(BackendEvent event);
  void OnCacheEvent(const CacheEvent& event);
  void OnClaimAnswer(const ClaimAnswer& answer);

  /** Predicts wait and cache hits for a call like the one in `request`. */
  wire::ProbeReply Probe(const wire::ProbeRequest& request) const;

  /** Starts draining: refuses new work; admitted calls go on. */
  void StartLeaving();

  /** Accepts new work again. */
  void StopLeaving();

  /**
   * Refuses dispatches made under an older configuration than `rules`, which
   * must outlive this object.
   */
  void FollowRules(const coordination::ConfigurationFollower& rules);

  /**
   * Records in `crashes` on which requests the server crashed or answered, and
   * refuses those with a part that is quarantined there. `crashes` must outlive
   * this object.
   */
  void FollowCrashes(coordination::CrashAttribution& crashes);

  /**
   * Ends a share-accounting period. Returns the server's recent service by
   * organisation. Call twice a second.
   */
  wire::ShareReport EndServicePeriod();

  /** Records the service that other servers gave to organisations. */
  void OnRemoteService(const wire::ShareReport& report);

  /** Applies timeouts and retention limits. Call a few times a second. */
  void Tick();

  /** The links with a response that isn't fully sent. */
  std::unordered_set<LinkNumber> AttachedLinks() const;

  /** Whether no call is waiting, running or being claimed. */
  bool idle() const;

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace peridotgate::agent

#endif  // AGENT_CORE_H_
