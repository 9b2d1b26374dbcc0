// Member records with lookup by instance and random selection.
#ifndef COORDINATION_MEMBER_TABLE_H_
#define COORDINATION_MEMBER_TABLE_H_

#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "coordination/membership.h"

namespace peridotgate::coordination {

/** Whether `a` is newer than `b`, a record of the same instance. */
bool Supersedes(const MemberRecord& a, const MemberRecord& b);

/**
 * The known members. Finding, adding, removing and randomly selecting one takes
 * constant time.
 */
class MemberTable {
 public:
  const std::vector<KnownMember>& members() const { return members_; }
  std::uint64_t changes() const { return changes_; }
  KnownMember& at(std::size_t i) { return members_[i]; }

  KnownMember* Find(std::string_view instance);

  /** Merges a record; returns true if it is new or replaces an older one. */
  bool Merge(const MemberRecord& record, TimePoint now);

  /** Merges a row of the platform's list; returns true if to be broadcast. */
  bool AddListed(const MemberRecord& record, TimePoint now);

  void SetState(KnownMember& member, MemberState state, TimePoint now);
  void Remove(std::size_t index);

  /** Restarts the suspicion timeout of every suspect. */
  void RenewSuspicions(TimePoint now);

  const KnownMember& DrawOne(RandomEngine& random) const;
  std::vector<PeerAddress> Draw(std::size_t n, RandomEngine& random) const;

  /** The usable member of `role` with the lowest rank for `purpose`. */
  std::optional<PeerAddress> Choose(MemberRole role,
                                    std::string_view purpose) const;

  /**
   * Number of usable members with the role and data centre of `self` that rank
   * before it for `purpose`.
   */
  std::size_t CountRankedBefore(const MemberRecord& self,
                                std::string_view purpose) const;

 private:
  KnownMember& Add(const MemberRecord& record, TimePoint now);
  void Replace(KnownMember& known, const MemberRecord& record, TimePoint now);

  std::vector<KnownMember> members_;
  std::unordered_map<std::string, std::size_t> index_;
  std::uint64_t changes_ = 0;
};

}  // namespace peridotgate::coordination

#endif  // COORDINATION_MEMBER_TABLE_H_
