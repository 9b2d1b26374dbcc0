// Handles one request after its body was read: resolves the route, places and
// sends the request, relays the response, and retries as the route allows.
#ifndef GATEWAY_EXCHANGE_H_
#define GATEWAY_EXCHANGE_H_

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <boost/asio/awaitable.hpp>

#include "buffer_account.h"
#include "caller_stream.h"
#include "event_splitter.h"
#include "gateway/load_balancer.h"
#include "gateway/protocol.h"
#include "server_connection.h"
#include "traffic_parts.h"

namespace peridotgate::gateway {

/** A refusal that the gateway itself sends to the caller. */
struct Refusal {
  unsigned status = 503;
  std::string_view reason;  // Stable name for logs and metrics.
  Millis retry_after{0};    // 0 for none.
};

/** Serves one request of one caller. Lives as long as its coroutine. */
class Exchange {
 public:
  Exchange(TrafficParts& parts,
           CallerStream& caller,
           RequestHead head,
           std::shared_ptr<const HeldBody> body,
           TimePoint began,
           bool keep);
  ~Exchange() { parts_.exchanges.erase(this); }
  Exchange(const Exchange&) = delete;
  Exchange& operator=(const Exchange&) = delete;

  /** Handles the request; returns whether the connection may be reused. */
  asio::awaitable<bool> Run();
  /** Ends the request now, as if its time was over. */
  void End();

 private:
  /** The result of one attempt at a server. */
  enum class Step {
    kDone,       // The caller got its response, or is gone.
    kNotRun,     // The server did not run the request.
    kMayHaveRun  // It may have run, without a complete response.
  };

  bool ResolveRoute(Refusal& refusal);
  bool ChargeQuota(Refusal& refusal);
  void UpdateCacheScope();
  PlacementRequest MakePlacementRequest() const;
  std::optional<Placement> Place(TimePoint now);
  asio::awaitable<void> RunAttempts();
  asio::awaitable<Step> TryServer(const Placement& placement);
  asio::awaitable<std::shared_ptr<ServerConnection>> Connect(
      const Placement& placement);
  std::string FormatRequest(const Placement& placement) const;
  asio::awaitable<Step> Answer(const Placement& placement,
                               ResponseHead head,
                               AttemptOutcome& outcome);
  asio::awaitable<void> DiscardRefusal();
  asio::awaitable<Step> Relay(const Placement& placement,
                              ResponseHead head,
                              AttemptOutcome& outcome);
  asio::awaitable<Step> RelayEvents(const Placement& placement,
                                    const ResponseHead& head,
                                    AttemptOutcome& outcome);
  asio::awaitable<Step> SendWhole(ResponseHead head, std::string body);
  asio::awaitable<bool> ForwardBytes(const ResponseHead& head,
                                     std::string_view bytes);
  bool MayRunAgain() const;
  std::optional<Millis> RetryAfterIfAllPause() const;
  std::optional<Millis> RetryAfterIfLimited() const;
  double SpreadMs(double after_ms) const;
  asio::awaitable<bool> WaitForLimit();
  bool EndsTooLate(const Placement& placement) const;
  TimePoint CallerLeaves() const;
  int Priority() const;
  routing::QueuedRequest MakeQueuedRequest(const Placement& placement) const;
  std::optional<TimePoint> LatestStart(const Placement& placement) const;
  asio::awaitable<void> WaitForRoom(const Placement& placement,
                                    TimePoint latest_start);
  std::optional<Millis> RetryAfterIfHopeless(const Placement& placement) const;
  bool MayTryAgain(Step step) const;
  bool MayMove() const;
  TimePoint SilenceLimit() const;
  bool ShouldMove(TimePoint now) const;
  std::optional<TimePoint> OnSilence(TimePoint now);
  AttemptOutcome OutcomeOf(ServerError error) const;
  void OnServerHead(const Placement& placement, const ResponseHead& head);
  bool IsUsable(const Placement& placement) const;
  void OnLost(const Placement& placement,
              ServerError error,
              AttemptOutcome& outcome);
  asio::awaitable<void> GiveUp();
  asio::awaitable<void> Refuse(Refusal refusal);
  asio::awaitable<void> RefuseBeforeStop();
  asio::awaitable<void> RefusePart(const coordination::PartVerdict& verdict);
  void MarkPromptRead(const Placement& placement, bool first_byte_came);
  void Finish(std::string_view outcome, unsigned status);
  TimePoint Now() const { return parts_.clock.Now(); }

  TrafficParts& parts_;
  CallerStream& caller_;
  RequestHead head_;
  std::shared_ptr<const HeldBody> body_;
  TimePoint began_;
  CallerHead request_;
  std::shared_ptr<const Rules> rules_;
  const Route* route_ = nullptr;
  const Organisation* organisation_ = nullptr;
  QuotaCharge quota_charge_;
  std::string service_;
  std::string cache_scope_;
  std::vector<coordination::PartKey> part_keys_;  // Of the shared parts.
  TimePoint deadline_;
  bool head_request_ = false;
  bool keep_alive_;  // Keeps the caller's connection after the response.
  // Came after the process stopped accepting connections.
  const bool received_late_;

  std::shared_ptr<ServerConnection> connection_;
  std::vector<std::string> tried_;
  std::vector<std::string> silent_servers_;  // Left because they were silent.
  std::string last_server_;
  std::string last_error_;
  int runs_ = 0;      // Number of servers that may have run the request.
  int arrivals_ = 0;  // Number of servers that the request reached.
  int fresh_connections_ = 0;
  std::string resume_after_;
  /** A complete error response, kept while other servers are tried. */
  struct CompleteResponse {
    ResponseHead head;
    std::string body;
  };

  std::optional<CompleteResponse> failed_response_;
  BufferShare held_;  // Of the response.
  // The server of this attempt has not processed the prompt yet.
  bool prompt_pending_ = false;
  bool response_started_ = false;  // The response head was sent to the caller.
  double predicted_ms_ = 0;
  TimePoint sent_at_{};       // Start of the present attempt.
  TimePoint silent_after_{};  // When the silence of its server is too long.
  bool server_awaited_ = false;
  TimePoint first_byte_{};
  std::optional<WaitEnd> wait_end_;  // Set once the request has waited.
  double waited_ms_ = 0;
};

}  // namespace peridotgate::gateway

#endif  // GATEWAY_EXCHANGE_H_
