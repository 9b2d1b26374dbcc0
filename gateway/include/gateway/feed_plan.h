// Chooses where a gateway reads the platform's rows: from the store itself, or
// from another gateway of its data centre that reads the store. This limits the
// load that a large fleet puts on the store, whose calls are few and paid for.
// No I/O.
#ifndef GATEWAY_FEED_PLAN_H_
#define GATEWAY_FEED_PLAN_H_

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "coordination/clock.h"
#include "runtime/settings_reader.h"

namespace peridotgate::gateway {

using coordination::TimePoint;

/** Another gateway, from its own registration row. */
struct PeerGateway {
  runtime::Endpoint address;
  std::string data_centre;  // Empty for seeds: only their address is known.
  bool operator==(const PeerGateway&) const = default;
};

/**
 * In each data centre, the gateway with the lowest address reads the store and
 * the others ask it. A gateway that gets no fresh answer asks the next one in
 * address order, and reads the store itself when no gateway is left before it.
 * A gateway whose store calls fail asks all peers in turn.
 *
 *     if (plan.ReadsStore(now)) { ... plan.OnStoreResult(true, now); }
 *     if (auto peer = plan.PeerToAsk(now)) {
 *       ... plan.OnPeerAnswer(*peer, age, now);
 *     }
 */
class FeedPlan {
 public:
  /** Rows that the store confirmed longer ago than this are stale. A reader
   * confirms its rows about twice in this time. */
  static constexpr coordination::Duration kFresh =
      std::chrono::milliseconds(1200);

  FeedPlan(runtime::Endpoint own, std::string data_centre);

  /** Replaces the list of live peers. */
  void OnPeers(std::vector<PeerGateway> peers);

  /** Whether this gateway should read the store itself. */
  bool ReadsStore(TimePoint now) const;
  /** The peer to ask for rows, or nothing if none should be asked. */
  std::optional<runtime::Endpoint> PeerToAsk(TimePoint now);

  /** Records the result of a call to the store. */
  void OnStoreResult(bool answered, TimePoint now);
  /** Records a peer's answer with rows that the store confirmed `age` ago, or
   * with no `age` if the peer did not answer. Returns whether the answer is
   * fresh. */
  bool OnPeerAnswer(const runtime::Endpoint& peer,
                    std::optional<coordination::Duration> age,
                    TimePoint now);

  /** Time since the store last confirmed the known rows; nothing if it never
   * did. */
  std::optional<coordination::Duration> Age(TimePoint now) const;

 private:
  bool IsSkipped(const runtime::Endpoint& peer, TimePoint now) const;
  std::optional<runtime::Endpoint> PrecedingReader(TimePoint now) const;

  runtime::Endpoint own_;
  std::string data_centre_;
  std::vector<PeerGateway> peers_;              // Sorted by address.
  std::map<std::string, TimePoint> failed_at_;  // By the peer's address.
  bool store_lost_ = false;
  std::size_t next_asked_ = 0;
  std::optional<TimePoint> confirmed_at_;
};

}  // namespace peridotgate::gateway

#endif  // GATEWAY_FEED_PLAN_H_
