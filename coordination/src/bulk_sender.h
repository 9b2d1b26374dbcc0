// Sends snapshots and changes that are too large for one message.
#ifndef COORDINATION_BULK_SENDER_H_
#define COORDINATION_BULK_SENDER_H_

#include <cstdint>
#include <vector>

#include "coordination/clock.h"
#include "coordination/configuration_follower.h"
#include "coordination/configuration_gossip.h"
#include "piece_sender.h"

namespace peridotgate::coordination {

/**
 * Splits snapshots and large changes into pieces, caches the last snapshot for
 * further requests, and decides how long to keep announcing it to peers.
 */
class BulkSender {
 public:
  BulkSender(const GossipOptions& options,
             const ConfigurationFollower& follower,
             const Clock& clock);

  /**
   * Starts to send one change. Does nothing without capacity; the peer then
   * times out and requests it elsewhere.
   */
  void SendChange(const PeerAddress& to, const Change& change);

  /** Starts to send a snapshot newer than `version`, capacity permitting. */
  void SendSnapshot(const PeerAddress& to, std::int64_t version);

  /** Records that the changes after `version` were announced to peers. */
  void OnAnnounced(std::int64_t version);

  /** Whether to announce to another peer now; counts the announcement. */
  bool TakeAnnouncement();

  /** Appends the messages that may be sent now. */
  void Tick(std::vector<OutgoingGossip>& outgoing);

 private:
  void StartTransfer(const PeerAddress& to, Pieces pieces);
  Pieces SnapshotNewerThan(std::int64_t version);
  bool IsBulk(std::int64_t version) const;

  const GossipOptions& options_;
  const ConfigurationFollower& follower_;
  const Clock& clock_;
  PieceSender sender_;
  Pieces snapshot_;
  std::int64_t snapshot_version_ = 0;
  TimePoint snapshot_time_;
  int announcements_left_ = 0;  // Remaining ones of `bulk_announcements`.
};

}  // namespace peridotgate::coordination

#endif  // COORDINATION_BULK_SENDER_H_
