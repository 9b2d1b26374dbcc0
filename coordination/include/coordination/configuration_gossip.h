// Distributes the configuration between processes by gossip. Does no I/O:
// messages are passed in and returned as values, and time comes from the given
// clock.
#ifndef COORDINATION_CONFIGURATION_GOSSIP_H_
#define COORDINATION_CONFIGURATION_GOSSIP_H_

#include <cstddef>
#include <cstdint>
#include <memory>
#include <variant>
#include <vector>

#include "coordination/clock.h"
#include "coordination/configuration_follower.h"
#include "coordination/peers.h"

namespace peridotgate::coordination {

/** Announces the sender's version. Small, so that it can be sent often. */
struct VersionDigest {
  std::int64_t version = 0;
};

/** Requests the changes after this version. */
struct ChangesPull {
  std::int64_t version = 0;
};

/** Consecutive changes in order, or one piece of a single large change. */
struct ChangesPush {
  std::vector<Change> changes;
  std::int32_t piece = 0;
  std::int32_t pieces = 1;
};

/**
 * A snapshot as of `version`, with tombstones of removed sections, or one piece
 * of it.
 */
struct SnapshotPush {
  std::int64_t version = 0;
  std::vector<Section> sections;
  std::int32_t piece = 0;
  std::int32_t pieces = 1;
};

using GossipMessage =
    std::variant<VersionDigest, ChangesPull, ChangesPush, SnapshotPush>;

/** A message to send. */
struct OutgoingGossip {
  PeerAddress to;
  GossipMessage message;
};

/** Limits and intervals of the gossip protocol. */
struct GossipOptions {
  std::size_t fan_out = 3;  // Peers to announce a new version to.
  // Changes within this interval are announced together.
  Duration news_interval = std::chrono::milliseconds(1000);
  Duration digest_period = std::chrono::seconds(1);
  Duration pull_timeout = std::chrono::milliseconds(500);
  std::size_t push_bytes = 32 << 10;  // Per message with changes.
  // Snapshots and larger changes are sent in pieces. A token bucket bounds
  // their average bandwidth; its burst allows several complete snapshots.
  std::size_t piece_bytes = 16 << 10;
  std::size_t pieces_per_tick = 2;  // Per receiver.
  std::size_t bulk_bytes_per_second = 4 << 10;
  std::size_t bulk_burst_bytes = 4 << 20;
  std::size_t bulk_transfers = 12;
  // A process that received such a bulk update and has capacity to send it
  // announces it to one peer per tick, until this many announcements in a row
  // have started no transfer.
  int bulk_announcements = 30;
  Duration snapshot_cache_ttl = std::chrono::seconds(30);
  // False leaves announcements to the periodic digest.
  bool announce_immediately = true;
  bool announce_with_changes = false;  // Send changes, not just a version.
};

/**
 * Announces a new version immediately to `fan_out` random peers as a digest.
 * Peers that lack it pull, and receive only the missing changes. A periodic
 * digest to one random peer provides anti-entropy after lost messages. A
 * snapshot is sent only when the changes after the requester's version are no
 * longer kept. Snapshots and large changes are sent in pieces, and are applied
 * only when complete.
 *
 *     ConfigurationGossip gossip({}, follower, peers, clock, seed);
 *     gossip.OnMessage(from, VersionDigest{7});
 *     for (OutgoingGossip& it : gossip.TakeOutgoing()) { Send(it); }
 */
class ConfigurationGossip {
 public:
  ConfigurationGossip(GossipOptions options,
                      ConfigurationFollower& follower,
                      const PeerSource& peers,
                      const Clock& clock,
                      std::uint64_t seed);
  ~ConfigurationGossip();

  /** Processes a message. Returns true if the current version increased. */
  bool OnMessage(const PeerAddress& from, const GossipMessage& message);

  /** Announces changes that the follower received from another source. */
  void OnNews();

  /**
   * Pulls from `peer`, which is known to have `version`, now or after the
   * current pull.
   */
  void CatchUp(const PeerAddress& peer, std::int64_t version);

  /** Does periodic work. Call about ten times a second. */
  void Tick();

  /** Returns the messages to send that accumulated since the last call. */
  std::vector<OutgoingGossip> TakeOutgoing();

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace peridotgate::coordination

#endif  // COORDINATION_CONFIGURATION_GOSSIP_H_
