// Requests and replies by which a new process gets the full member list.
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
 * Join requests sent by this process, and full member lists sent to processes
 * that join. Both are limited, so that a thundering herd of restarting
 * processes does not overload a seed.
 */
class MemberJoins {
 public:
  /** Sets the addresses to send join requests to. */
  void SetSeeds(std::vector<PeerAddress> seeds) { seeds_ = std::move(seeds); }

  /** Starts a period in which up to `n` full lists may be sent. */
  void StartPeriod(std::size_t n) { lists_left_ = n; }

  /** Returns a seed to send a join request to, if one is still needed. */
  std::optional<PeerAddress> TakeSeed(RandomEngine& random) {
    if (seeds_.empty() || requests_left_ == 0) {
      return std::nullopt;
    }
    --requests_left_;
    std::uniform_int_distribution<std::size_t> draw(0, seeds_.size() - 1);
    return seeds_[draw(random)];
  }

  /** Records that a full list arrived, which ends the join requests. */
  void OnFullList() { requests_left_ = 0; }

  /** Makes a join request, marked by a last record without an instance. */
  static OutgoingMembers MakeJoin(const MemberRecord& self,
                                  const PeerAddress& seed) {
    MemberRecord join_marker;
    join_marker.address = seed;
    return {seed, {self, join_marker}};
  }

  /** Whether `last`, the last record of a message, marks a join request. */
  static bool IsJoin(const MemberRecord& last) { return last.instance.empty(); }

  /** Appends the full list in pieces for `to`, unless the limit is reached. */
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
