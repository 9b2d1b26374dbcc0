// One request from its whole body to its answer: match, place, send, relay,
// and again within the bounds of its route.
#ifndef GATEWAY_EXCHANGE_H_
#define GATEWAY_EXCHANGE_H_

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <boost/asio/awaitable.hpp>

#include "caller_stream.h"
#include "event_splitter.h"
#include "gateway/protocol.h"
#include "gateway/server_book.h"
#include "server_connection.h"
#include "traffic_parts.h"

namespace peridotgate::gateway {

/** How an answer's refusal is told to the caller. */
struct Refusal {
  unsigned status = 503;
  std::string_view reason;  // A stable name, for logs and counters.
  Millis retry_after{0};    // 0: none.
};

/** Serves one request of one caller. Lives as long as its coroutine. */
class Exchange {
 public:
  Exchange(TrafficParts& parts,
           CallerStream& caller,
           RequestHead head,
           std::string body,
           TimePoint began,
           bool keep);

  /** Answers the request; true when the connection may go on. */
  asio::awaitable<bool> Run();

 private:
  /** What one attempt at a server led to. */
  enum class Step {
    kDone,       // The caller has its answer, or is gone.
    kNotRun,     // The server did not run it.
    kMayHaveRun  // It may have run and there is no whole answer.
  };

  bool Match(Refusal& refusal);
  Need MakeNeed() const;
  asio::awaitable<void> Attempts();
  asio::awaitable<Step> TryServer(const Placement& place);
  asio::awaitable<std::shared_ptr<ServerConnection>> Connect(
      const Placement& place);
  std::string FormatRequest(const Placement& place) const;
  asio::awaitable<Step> Answer(const Placement& place,
                               ResponseHead head,
                               AttemptOutcome& outcome);
  asio::awaitable<Step> Relay(const Placement& place,
                              ResponseHead head,
                              AttemptOutcome& outcome);
  asio::awaitable<Step> RelayEvents(const Placement& place,
                                    const ResponseHead& head,
                                    AttemptOutcome& outcome);
  asio::awaitable<Step> SendWhole(ResponseHead head, std::string body);
  asio::awaitable<bool> PassOn(const ResponseHead& head,
                               std::string_view bytes);
  bool MayRunAgain() const;
  bool MayTryAgain(Step step) const;
  TimePoint SilenceLimit() const;
  AttemptOutcome OutcomeOf(ServerError error) const;
  asio::awaitable<void> GiveUp();
  asio::awaitable<void> Refuse(Refusal refusal);
  void ReadPrompt(const Placement& place);
  void Finish(std::string_view outcome, unsigned status);
  TimePoint Now() const { return parts_.clock.Now(); }

  TrafficParts& parts_;
  CallerStream& caller_;
  RequestHead head_;
  std::string body_;
  TimePoint began_;
  CallerHead request_;
  std::shared_ptr<const Rules> rules_;
  const Route* route_ = nullptr;
  const Organisation* organisation_ = nullptr;
  std::string service_;
  std::string cache_scope_;
  TimePoint deadline_;
  bool head_request_ = false;
  bool keep_;  // The caller's connection goes on after the answer.

  std::shared_ptr<ServerConnection> connection_;
  std::vector<std::string> tried_;
  std::string last_server_;
  std::string last_error_;
  int runs_ = 0;      // Servers that may have run the request.
  int arrivals_ = 0;  // Servers that the request reached.
  int fresh_connections_ = 0;
  std::string resume_after_;
  /** A failure that a server answered with, kept while others are tried. */
  struct WholeAnswer {
    ResponseHead head;
    std::string body;
  };

  std::optional<WholeAnswer> failure_;
  bool prompt_unread_ = false;  // By the server of the present attempt.
  bool began_answer_ = false;   // The caller has the head of an answer.
  double predicted_ms_ = 0;
  TimePoint sent_at_{};  // Of the present attempt.
  TimePoint first_byte_{};
};

}  // namespace peridotgate::gateway

#endif  // GATEWAY_EXCHANGE_H_
