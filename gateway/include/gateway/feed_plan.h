// Chooses where a gateway reads the platform's rows: from the store itself, or
// from another gateway of its data centre that reads the store. This limits the
// load that a large fleet puts on the store, whose calls are few and paid for.
// No I/O.
#ifndef GATEWAY_FEED_PLAN_H_
#define GATEWAY_FEED_PLAN_H_

#include <array>
#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "coordination/clock.h"
#include "runtime/settings_reader.h"

namespace peridotgate::gateway {

using coordination::TimePoint;

/** The tables that gateways follow. */
enum class Feed { kRules, kServers };

/** Another gateway, from its own registration row. */
struct PeerGateway {
  runtime::Endpoint address;
  std::string data_centre;  // Empty for seeds: only their address is known.
  int capacity = 0;         // Processor share, in thousandths of a core.
  bool operator==(const PeerGateway&) const = default;
};

/** Whether duties for other gateways fall to `a` before `b`: larger instances
 * first, then by address. The same order on all gateways. */
bool TakesDutyBefore(const PeerGateway& a, const PeerGateway& b);

/** What a peer's answer says about its rows. */
struct PeerRows {
  coordination::Duration age{};  // Time since the store confirmed them.
  bool from_store = false;       // The peer reads the store itself.
};

/** A peer to ask for rows. */
struct PeerQuery {
  runtime::Endpoint peer;
  // Whether the peer is only probed and should answer at once.
  bool probe = false;
  bool operator==(const PeerQuery&) const = default;
};

/**
 * In each data centre, the first gateway in the order of `TakesDutyBefore`
 * reads the store, and the others follow it in a tree of degree `kFanOut`, so
 * that what a gateway sends does not grow with the fleet. A gateway that gets
 * no fresh rows from its parent asks the parent's parents, and then the other
 * gateways before it. It reads the store itself when no gateway is left before
 * it, and whenever its rows are older than `kMaxAge`: peers that hang one after
 * the other would add up their timeouts. It probes the peers that it skips, and
 * returns to one when that has fresh rows again. A gateway without fresh rows
 * of its own probes all peers in turn until it finds one that reads the store.
 * Only gateways that come earlier in the order are followed for rows that they
 * got from others, and the first one never is: gateways that follow each other
 * would grow old together.
 *
 *     if (plan.ReadsStore(now)) { ... plan.OnStoreResult(feed, true, now); }
 *     if (auto query = plan.PeerToAsk(now)) {
 *       ... plan.OnPeerAnswer(query->peer, rows, now);
 *     }
 */
class FeedPlan {
 public:
  /** Rows that the store confirmed longer ago than this are stale. A reader
   * confirms its rows about twice in this time. */
  static constexpr coordination::Duration kFresh =
      std::chrono::milliseconds(1200);

  /** Rows older than this are read from the store, whatever the peers do. More
   * than the age at which a follower's rows are renewed, and less than the
   * shortest deadline of a change, which is 2 s. */
  static constexpr coordination::Duration kMaxAge =
      std::chrono::milliseconds(1400);

  /** The number of gateways that follow one, while none fails. */
  static constexpr std::size_t kFanOut = 8;

  explicit FeedPlan(PeerGateway own);

  /** Replaces the list of live peers. */
  void OnPeers(std::vector<PeerGateway> peers);

  /** Whether this gateway should read the store itself. */
  bool ReadsStore(TimePoint now) const;
  /** The peer to ask for rows, or nothing if none should be asked. */
  std::optional<PeerQuery> PeerToAsk(TimePoint now);

  /** Records the result of a call to the store that reads `feed`. */
  void OnStoreResult(Feed feed, bool answered, TimePoint now);
  /** Records a peer's answer; nothing if the peer did not answer or has no
   * rows. Returns whether the peer should be followed. */
  bool OnPeerAnswer(const runtime::Endpoint& peer,
                    std::optional<PeerRows> rows,
                    TimePoint now);

  /** Whether this gateway's rows come from the store itself and are fresh. */
  bool IsDirect(TimePoint now) const;

  /** Time since the store last confirmed the known rows of all feeds; nothing
   * if it has not confirmed each of them. */
  std::optional<coordination::Duration> Age(TimePoint now) const;

 private:
  static constexpr std::size_t kFeeds = 2;

  // A peer that gave no fresh rows when it was last asked.
  struct Skipped {
    TimePoint since{};
    coordination::Duration pause{};  // Until the next probe.
  };

  bool NeedsPeers(TimePoint now) const;
  bool IsSkipped(const PeerGateway& peer) const;
  bool IsProbeDue(const PeerGateway& peer, TimePoint now) const;
  bool Precedes(const PeerGateway& peer) const;
  std::vector<const PeerGateway*> Preceding() const;
  const PeerGateway* Source() const;
  bool MayRelay(const runtime::Endpoint& peer) const;

  PeerGateway own_;
  std::vector<PeerGateway> peers_;  // In the order of `TakesDutyBefore`.
  std::map<std::string, Skipped> skipped_;  // By the peer's address.
  // Per feed: the calls of one may hang while those of the other are answered.
  struct FeedState {
    bool lost = false;
    std::optional<TimePoint> confirmed_at;   // By the store or through a peer.
    std::optional<TimePoint> store_call_at;  // Last call that was answered.
  };
  std::array<FeedState, kFeeds> feeds_;
  std::optional<runtime::Endpoint> followed_;  // Last peer with fresh rows.
  std::size_t next_asked_ = 0;
};

}  // namespace peridotgate::gateway

#endif  // GATEWAY_FEED_PLAN_H_
