// From where a gateway learns the rows of the platform's store: from the store,
// or from another gateway of its data centre that reads it. Answers the load of
// a large fleet on the store, whose calls are few and paid for. No I/O.
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

/** Another gateway, as it registered itself. */
struct PeerGateway {
  runtime::Endpoint address;
  std::string data_centre;  // Empty for seeds, of which no more is known.
  bool operator==(const PeerGateway&) const = default;
};

/**
 * The first gateway of each data centre, by address, reads the store; the
 * others ask it. Whoever gets no fresh answer asks the next one, and reads the
 * store itself where none is left in front of it. One that the store turns away
 * asks all peers in turn.
 *
 *     if (plan.ReadsStore(now)) { ... plan.OnStore(true, now); }
 *     if (auto peer = plan.PeerToAsk(now)) { ... plan.OnPeer(*peer, age, now);
 * }
 */
class FeedPlan {
 public:
  /** Rows that the store confirmed longer ago than this are not fresh. A
   * reader confirms them about twice as often. */
  static constexpr coordination::Duration kFresh =
      std::chrono::milliseconds(1200);

  FeedPlan(runtime::Endpoint own, std::string data_centre);

  /** The other gateways that are there now. */
  void OnPeers(std::vector<PeerGateway> peers);

  /** Whether this gateway reads the store itself. */
  bool ReadsStore(TimePoint now) const;
  /** The peer to be asked now, or nothing. */
  std::optional<runtime::Endpoint> PeerToAsk(TimePoint now);

  /** A call to the store ended. */
  void OnStore(bool answered, TimePoint now);
  /** A peer answered with rows that the store confirmed `age` ago; nothing: it
   * did not answer. True when the answer is fresh. */
  bool OnPeer(const runtime::Endpoint& peer,
              std::optional<coordination::Duration> age,
              TimePoint now);

  /** How long ago the store confirmed what is known; nothing before it did. */
  std::optional<coordination::Duration> Age(TimePoint now) const;

 private:
  bool Skipped(const runtime::Endpoint& peer, TimePoint now) const;
  std::optional<runtime::Endpoint> ReaderInFront(TimePoint now) const;

  runtime::Endpoint own_;
  std::string data_centre_;
  std::vector<PeerGateway> peers_;              // By address.
  std::map<std::string, TimePoint> failed_at_;  // By peer's address.
  bool store_lost_ = false;
  std::size_t next_asked_ = 0;
  std::optional<TimePoint> confirmed_at_;
};

}  // namespace peridotgate::gateway

#endif  // GATEWAY_FEED_PLAN_H_
