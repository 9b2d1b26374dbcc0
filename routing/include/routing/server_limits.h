// Keeps to the rates at which servers say that they take requests, over all
// gateways together. Answers the load of a server in need: one of which each
// gateway would take the whole rate for itself, or that gets its requests in
// bursts when several gateways see room at once. No I/O.
#ifndef ROUTING_SERVER_LIMITS_H_
#define ROUTING_SERVER_LIMITS_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "coordination/clock.h"
#include "coordination/quota.h"
#include "routing/server_standing.h"

namespace peridotgate::routing {

/** What an answer says of its server's limit. */
struct LimitStatement {
  std::optional<double> per_s;  // Requests a second, if it names a limit.
  bool conclusive = false;  // If it names none, the server has none any more.
  TimePoint asked_at{};     // When the request was sent.
};

/** What gateways tell each other of one server's limit. */
struct LimitReport {
  Incarnation server;
  double per_s = 0;              // 0: it names none any more.
  coordination::Duration age{};  // Since the answer that said so.
  std::int64_t charged = 0;      // Thousandths of requests, since the start.
  std::int64_t level = 0;        // Of the sender's copy of the bucket.
};

/**
 * The limits that servers name, and a bucket for each that all gateways share:
 * each has a copy, charges it before a request is sent, and reports that.
 * Gateways look for room at different moments, so that not all of them take the
 * same before they hear of each other. The newest statement that any gateway
 * heard is in force. A limit ends when an answer names none whose request was
 * sent after the limit was last named, or when a newer incarnation of the
 * server is known.
 *
 *     limits.OnAnswer(server, statement, now);
 *     if (limits.HasRoom(server, now)) { ... limits.TryCharge(server, now); }
 *     Send(limits.TakeReports(whole, now));
 *     limits.OnReports(sender, reports, now);
 */
class ServerLimits {
 public:
  /** `seed` should differ between gateways. */
  explicit ServerLimits(std::uint64_t seed = 0) : seed_(seed), ledger_(seed) {}

  /** Sets the live gateways besides this one. */
  void SetPeers(std::span<const std::string> peers, TimePoint now) {
    ledger_.SetPeers(peers, now);
  }

  /** Applies an answer; returns whether the limit in force changed. */
  bool OnAnswer(const Incarnation& server,
                const LimitStatement& statement,
                TimePoint now);
  /** Forgets servers that are not listed any more. */
  void OnListed(const std::function<bool(const Incarnation&)>& listed);

  /** The limit in force, in requests a second. */
  std::optional<double> Get(const Incarnation& server) const;
  /** Whether a request may be sent now. */
  bool HasRoom(const Incarnation& server, TimePoint now) const;
  /** How long until it may, if no other is sent meanwhile. */
  coordination::Duration TimeToRoom(const Incarnation& server,
                                    TimePoint now) const;
  /** Takes room for one request, if there is any. */
  bool TryCharge(const Incarnation& server, TimePoint now);
  /** Counts a request that is sent whether there is room or not. */
  void Charge(const Incarnation& server, TimePoint now);
  /** Gives back the room of a request that was not sent. */
  void Refund(const Incarnation& server, TimePoint now);

  /** The reports of limits and charges that changed since the last call and, if
   * `whole`, some of the others in turn. */
  std::vector<LimitReport> TakeReports(bool whole, TimePoint now);
  /** Applies a peer's reports; empty ones show that it lives. */
  void OnReports(const coordination::QuotaSender& sender,
                 std::span<const LimitReport> reports,
                 TimePoint now);

  /** Whether any server names a limit. */
  bool active() const { return ledger_.active(); }
  /** The number of gateways that share the limits, this one included. */
  std::size_t gateways() const { return ledger_.instances(); }

 private:
  struct Entry {
    std::int64_t born_ms = 0;
    double per_s = 0;       // 0: no limit.
    TimePoint stated_at{};  // When the newest answer that counts came.
    bool unreported = false;
  };

  Entry* Find(const Incarnation& server);
  const Entry* Find(const Incarnation& server) const;
  Entry* Renew(const Incarnation& server);
  void SetLimits(TimePoint now);
  double TurnShare(double per_s) const;
  bool HasTurn(const Incarnation& server, double per_s, TimePoint now) const;

  const std::uint64_t seed_;
  std::map<std::string, Entry, std::less<>> entries_;
  coordination::QuotaLedger ledger_;
  std::string last_reported_;  // Where the last whole report stopped.
};

}  // namespace peridotgate::routing

#endif  // ROUTING_SERVER_LIMITS_H_
