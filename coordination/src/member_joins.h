// How a process that just started learns of all members from a seed.
#ifndef COORDINATION_MEMBER_JOINS_H_
#define COORDINATION_MEMBER_JOINS_H_

#include <algorithm>
#include <cstddef>
#include <optional>
#include <utility>
#include <vector>

#include "coordination/membership.h"

namespace peridotgate::coordination {

/**
 * Joins that this process sends, and whole lists that it gives to those who
 * join. Both are bounded, so that a herd of restarts does not drown a seed.
 */
class MemberJoins {
 public:
  /** Addresses to ask. */
  void SetSeeds(std::vector<PeerAddress> seeds) { seeds_ = std::move(seeds); }

  /** A new period: `n` more whole lists may be given. */
  void StartPeriod(std::size_t n) { lists_left_ = n; }

  /** The seed to ask now, if one is still to be asked. */
  std::optional<PeerAddress> TakeSeed(RandomEngine& random) {
    if (seeds_.empty() || requests_left_ == 0) {
      return std::nullopt;
    }
    --requests_left_;
    std::uniform_int_distribution<std::size_t> draw(0, seeds_.size() - 1);
    return seeds_[draw(random)];
  }

  /** A whole list came; nobody needs to be asked any more. */
  void OnFullList() { requests_left_ = 0; }

  /** A member without a name asks who is there for the whole list. */
  static OutgoingMembers MakeJoin(const MemberRecord& self,
                                  const PeerAddress& seed) {
    MemberRecord join_marker;
    join_marker.address = seed;
    return {seed, {self, join_marker}};
  }

  /** Whether the last record of a message asks for the whole list. */
  static bool IsJoin(const MemberRecord& last) { return last.instance.empty(); }

  /** Appends the whole list in pieces for `to`, if one more may be given. */
  void AppendFullList(const PeerAddress& to,
                      const MemberRecord& self,
                      const std::vector<KnownMember>& members,
                      std::vector<OutgoingMembers>& out) {
    if (lists_left_ == 0) {
      return;
    }
    --lists_left_;
    for (std::size_t at = 0; at < members.size(); at += kRecordsPerPiece) {
      OutgoingMembers piece{to, {self}};
      const std::size_t end = std::min(members.size(), at + kRecordsPerPiece);
      for (std::size_t i = at; i < end; ++i) {
        if (members[i].record.address != to) {
          piece.members.push_back(members[i].record);
        }
      }
      out.push_back(std::move(piece));
    }
  }

 private:
  static constexpr std::size_t kRecordsPerPiece = 256;
  static constexpr int kMaxJoinRequests = 8;

  std::vector<PeerAddress> seeds_;
  std::size_t lists_left_ = 1;
  int requests_left_ = kMaxJoinRequests;
};

}  // namespace peridotgate::coordination

#endif  // COORDINATION_MEMBER_JOINS_H_
