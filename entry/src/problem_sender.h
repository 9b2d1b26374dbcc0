// Sends problem documents to callers and counts them.
#ifndef ENTRY_PROBLEM_SENDER_H_
#define ENTRY_PROBLEM_SENDER_H_

#include "entry/messages.h"
#include "entry/problem.h"
#include "runtime/http.h"
#include "runtime/metrics.h"

namespace peridotgate::entry {

/** The header with the request id, set on every response. */
inline constexpr std::string_view kRequestIdHeader = "X-Request-Id";

/** Runs on the callers event-loop thread. */
class ProblemSender {
 public:
  explicit ProblemSender(runtime::Metrics& metrics) : metrics_(metrics) {}

  /** Sends `problem` as the response to `request`. */
  asio::awaitable<void> Send(runtime::HttpExchange& exchange,
                             const Problem& problem,
                             const Id128& request) const;

 private:
  runtime::Metrics& metrics_;
};

}  // namespace peridotgate::entry

#endif  // ENTRY_PROBLEM_SENDER_H_
