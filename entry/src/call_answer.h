// Writes the router's events of one call as the HTTP response to its caller.
#ifndef ENTRY_CALL_ANSWER_H_
#define ENTRY_CALL_ANSWER_H_

#include <optional>
#include <string>

#include "entry/messages.h"
#include "problem_sender.h"
#include "runtime/duty.h"
#include "runtime/http.h"
#include "runtime/inbox.h"

namespace peridotgate::entry {

using CallInbox = runtime::Inbox<CallEvent>;

/** Maximum time between two events of a call from the router. */
inline constexpr std::chrono::microseconds kEventTimeout{150000000};

/** The parts of the caller server that an answer uses. */
struct AnswerDeps {
  runtime::Duty& duty;
  runtime::Port<RouterCommand>& commands;
  const ProblemSender& problems;
};

/** The answer to one call; runs on the callers event-loop thread. */
class CallAnswer {
 public:
  CallAnswer(const AnswerDeps& deps,
             const Id128& id,
             CallInbox& inbox,
             runtime::HttpExchange& exchange)
      : deps_(deps), id_(id), inbox_(inbox), exchange_(exchange) {}

  /** Sends `first` and the events that follow it in the inbox. */
  asio::awaitable<void> Send(std::optional<CallEvent>& first, bool streamed);

 private:
  asio::awaitable<void> SendProblem(const Problem& problem);
  runtime::HttpResponse MakeHead(const CallHead& head) const;
  asio::awaitable<void> SendWhole(const CallHead& head);
  asio::awaitable<void> SendStream(const CallHead& head);
  asio::awaitable<void> ReportConsumed(std::int64_t position);

  AnswerDeps deps_;
  Id128 id_;
  CallInbox& inbox_;
  runtime::HttpExchange& exchange_;
};

}  // namespace peridotgate::entry

#endif  // ENTRY_CALL_ANSWER_H_
