// Private state and operations of `AgentCore`.
#ifndef AGENT_CORE_IMPL_H_
#define AGENT_CORE_IMPL_H_

#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "agent/cache_index.h"
#include "agent/core.h"
#include "agent/scheduler.h"
#include "recent_replies.h"
#include "revocations.h"
#include "rules_gate.h"
#include "stream.h"

namespace peridotgate::agent {

/** The state of an agent's requests. */
struct AgentCore::Impl {
  using StreamMap = std::unordered_map<Id128, Stream>;

  Impl(const coordination::Clock& clock,
       AgentLimits limits,
       AgentOutputs& outputs,
       runtime::Metrics& metrics);

  const coordination::Clock& clock;
  AgentLimits limits;
  AgentOutputs& outputs;
  runtime::Metrics& metrics;
  runtime::Counter& late_events;
  runtime::Counter& duplicates;
  runtime::Counter& dispatched;
  runtime::Counter& results_dropped;
  runtime::Counter& evicted;
  runtime::Counter& aborted_streams;
  Scheduler scheduler;
  StreamMap streams;
  Revocations revoked;
  RecentReplies recent_replies;
  CacheIndex cache;
  bool leaving = false;
  RulesGate rules;
  coordination::CrashAttribution* crashes = nullptr;  // Null: not followed.
  std::size_t retained_bytes = 0;

  // Admission.
  void Refuse(LinkNumber link,
              const AttemptId& id,
              wire::Outcome::type result,
              wire::Reason::type reason,
              std::string detail,
              std::chrono::milliseconds retry_after);
  void RefuseNotRun(LinkNumber link,
                    const AttemptId& id,
                    wire::Reason::type reason,
                    std::string detail);
  // Refuses a call that failed admission, with a retry-after time.
  void RefuseAdmission(LinkNumber link,
                       const AttemptId& id,
                       wire::Reason::type reason,
                       const wire::Dispatch& dispatch);
  wire::Reason::type CheckAdmission(const AttemptId& id,
                                    const wire::Dispatch& dispatch) const;
  // How long a call refused for `reason` should wait before it comes back.
  std::chrono::milliseconds RetryAfter(const AttemptId& id,
                                       wire::Reason::type reason,
                                       const wire::Dispatch& dispatch) const;
  bool IsStale(const wire::Dispatch& dispatch) const;
  ScheduledCall MakeCall(const AttemptId& id, const wire::Dispatch& it) const;
  // `earlier_attempts` at the request failed on this agent.
  void Enqueue(LinkNumber from,
               const AttemptId& id,
               wire::Dispatch dispatch,
               std::vector<std::int32_t> earlier_attempts);
  void AttachToExisting(LinkNumber from,
                        const AttemptId& id,
                        Stream& stream,
                        const wire::Dispatch& dispatch);

  // From the queue to the server.
  void StartReadyCalls();
  void Start(Stream& stream);
  void Claim(Stream& stream);
  void HandOver(Stream& stream);
  void FinishNotRun(Stream& stream,
                    wire::Reason::type reason,
                    std::string detail);
  void RefuseAndErase(Stream& stream,
                      wire::Reason::type reason,
                      std::string detail);
  void OnClaimed(Stream& stream);
  void AbandonClaim(Stream& stream, ClaimOutcome claim);
  wire::Outcome::type Revoke(const AttemptId& id);
  void WithdrawWaiting(Stream& stream);
  // The outcome to report for an attempt that was not sent to the server.
  wire::Outcome::type NotRunOutcome(const AttemptId& id, bool repeatable);
  void CancelRunning(LinkNumber from, const AttemptId& id);

  // Responses.
  void End(Stream& stream,
           wire::Outcome::type result,
           wire::Reason::type reason,
           std::string detail,
           const BackendUsage& usage);
  void OnHead(Stream& stream, BackendHead head);
  void OnData(Stream& stream, BackendData data);
  void OnEnd(Stream& stream, const BackendEnd& end);
  void OnFailure(Stream& stream, const BackendFailure& failure);
  void ReplayRecord(Stream& stream, const wire::ClaimRecord& record);
  void AnswerFromRecord(Stream& stream, const wire::ClaimRecord& record);

  // Parts of requests on which servers crash.
  coordination::PartVerdict FindQuarantine(
      const wire::Dispatch& dispatch) const;
  bool MayReachServer(const wire::Dispatch& dispatch) const;
  void RecordCrash(const wire::Dispatch& dispatch);
  void RecordSound(const Stream& stream);

  // Claims.
  static ClaimKey ClaimKeyOf(const Stream& stream);
  wire::ClaimRecord MakeRecord(const Stream& stream,
                               wire::ClaimState::type state) const;
  void StoreClaimResult(const Stream& stream);
  void ReleaseClaim(const Stream& stream);
  void SendResult(const Stream& stream, wire::ClaimRecord record);

  // Retention.
  void Retain(Stream& stream, std::string event);
  void RetainPieces(Stream& stream, std::string_view body);
  void RetainEvents(Stream& stream, std::string_view body);
  StreamMap::iterator Erase(StreamMap::iterator it);
  void EnforceRetention();
  bool EvictOldestEnded();
  void AbortLongestStream();
};

}  // namespace peridotgate::agent

#endif  // AGENT_CORE_IMPL_H_
