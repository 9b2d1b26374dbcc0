// Sends large transfers to peers in pieces, within a bandwidth budget.
#ifndef COORDINATION_PIECE_SENDER_H_
#define COORDINATION_PIECE_SENDER_H_

#include <cstddef>
#include <cstdint>
#include <memory>
#include <vector>

#include "coordination/clock.h"
#include "coordination/configuration_gossip.h"

namespace peridotgate::coordination {

/** One piece and the bytes it takes from the budget. */
struct SizedPiece {
  GossipMessage message;
  std::size_t bytes = 0;
};

using Pieces = std::shared_ptr<const std::vector<SizedPiece>>;

/** Splits a full configuration as of `version` into pieces. */
Pieces SplitSnapshot(std::int64_t version,
                     std::vector<Section> sections,
                     std::size_t piece_bytes);

/** Splits one change into pieces. */
Pieces SplitChange(const Change& change, std::size_t piece_bytes);

/** Approximate size of `change` on the wire, in bytes. */
std::size_t SizeOf(const Change& change);

/**
 * Runs a limited number of transfers, each of which sends a few pieces per
 * tick. All transfers share a token bucket of bytes. A transfer starts only
 * when the bucket covers all of it, or is full if it is larger than the burst,
 * because a partial transfer is useless to its receiver.
 */
class PieceSender {
 public:
  PieceSender(const GossipOptions& options, const Clock& clock);

  /** Starts a transfer; returns false if there is no capacity for it. */
  bool Start(const PeerAddress& to, Pieces pieces);

  /** Whether another transfer may start if it is small enough. */
  bool HasRoom();

  /** Whether a transfer to `to` is active. */
  bool IsSendingTo(const PeerAddress& to) const;

  /** Appends the messages that may be sent now. */
  void Tick(std::vector<OutgoingGossip>& outgoing);

 private:
  struct Transfer {
    PeerAddress to;
    Pieces pieces;
    std::size_t next = 0;
  };

  void Refill();

  const GossipOptions& options_;
  const Clock& clock_;
  TimePoint refilled_;
  double budget_;
  std::vector<Transfer> transfers_;
};

}  // namespace peridotgate::coordination

#endif  // COORDINATION_PIECE_SENDER_H_
