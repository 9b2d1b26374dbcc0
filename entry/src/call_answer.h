// Writes what the router says of one call as the answer to its caller.
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

/** The longest silence of the router in a call. */
inline constexpr std::chrono::microseconds kEventTimeout{150000000};

/** The parts of the callers duty that an answer needs. */
struct AnswerDeps {
  runtime::Duty& duty;
  runtime::Port<RouterCommand>& commands;
  const ProblemSender& problems;
};

/** The answer to one call; runs on the callers duty. */
class CallAnswer {
 public:
  CallAnswer(const AnswerDeps& deps,
             const Id128& id,
             CallInbox& inbox,
             runtime::HttpExchange& exchange)
      : deps_(deps), id_(id), inbox_(inbox), exchange_(exchange) {}

  /** Answers with `first` and what follows it in the inbox. */
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
