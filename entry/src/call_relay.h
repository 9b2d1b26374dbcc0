// Relays the replies of attempts to the caller, once each and in order.
#ifndef ENTRY_CALL_RELAY_H_
#define ENTRY_CALL_RELAY_H_

#include <optional>
#include <string>

#include "attempt.h"
#include "call_state.h"
#include "runtime/duty.h"
#include "runtime/metrics.h"

namespace peridotgate::entry {

/** Turns messages of agents into events for the caller server. */
class CallRelay {
 public:
  CallRelay(runtime::Port<CallEvent>& events, runtime::Metrics& metrics);

  /**
   * Relays a message of the active attempt. Returns how the attempt ended, or
   * nothing if it continues.
   */
  std::optional<AttemptResult> Relay(CallState& state,
                                     AttemptOrder& order,
                                     wire::Message& message);

  /** Ends the call with an error, also in the middle of an answer. */
  void FailCall(const CallState& state,
                wire::Outcome::type result,
                wire::Reason::type reason,
                std::string detail);

 private:
  template <class T>
  bool Post(const CallState& state, T payload);
  std::optional<AttemptResult> OnRejected(MessageVerdict verdict);
  std::optional<AttemptResult> RelayHead(CallState& state,
                                         MessageVerdict verdict,
                                         const wire::ReplyHead& head);
  std::optional<AttemptResult> RelayChunk(CallState& state,
                                          MessageVerdict verdict,
                                          wire::ReplyChunk& chunk);
  std::optional<AttemptResult> RelayEnd(CallState& state,
                                        MessageVerdict verdict,
                                        const wire::ReplyEnd& end);

  runtime::Port<CallEvent>& events_;
  runtime::Metrics& metrics_;
  runtime::Counter& discarded_;
  runtime::Counter& gaps_;
  runtime::Counter& invalid_;
  runtime::Counter& channel_full_;
};

}  // namespace peridotgate::entry

#endif  // ENTRY_CALL_RELAY_H_
