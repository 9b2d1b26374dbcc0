// Reassembles snapshots and changes that peers send in pieces.
#ifndef COORDINATION_PIECE_ASSEMBLY_H_
#define COORDINATION_PIECE_ASSEMBLY_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

#include "coordination/clock.h"
#include "coordination/configuration_follower.h"

namespace peridotgate::coordination {

/** Identifies the transfer of a piece. Pieces of different ones never mix. */
struct PieceKey {
  bool snapshot = false;
  std::int64_t version = 0;
  std::int32_t pieces = 0;

  bool operator==(const PieceKey&) const = default;
};

/**
 * Collects the pieces of a few partial transfers until one is complete. Pieces
 * may arrive in any order, repeatedly, and from several peers.
 */
class PieceAssembly {
 public:
  explicit PieceAssembly(const Clock& clock) : clock_(clock) {}

  /** Adds a piece; returns all sections if that completes the transfer. */
  std::optional<std::vector<Section>> AddPiece(const PieceKey& key,
                                               std::int32_t piece,
                                               std::vector<Section> sections);

  /** Drops transfers of versions up to `version`. */
  void DropUpTo(std::int64_t version);

 private:
  struct PartialTransfer {
    PieceKey key;
    TimePoint last_piece;
    std::vector<std::optional<std::vector<Section>>> pieces;
  };

  PartialTransfer& Find(const PieceKey& key);

  const Clock& clock_;
  std::vector<PartialTransfer> partials_;
};

}  // namespace peridotgate::coordination

#endif  // COORDINATION_PIECE_ASSEMBLY_H_
