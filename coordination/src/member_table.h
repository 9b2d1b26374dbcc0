// The records of a membership, found by instance and drawn at random.
#ifndef COORDINATION_MEMBER_TABLE_H_
#define COORDINATION_MEMBER_TABLE_H_

#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "coordination/membership.h"

namespace peridotgate::coordination {

/** Whether `a` replaces `b`, a record of the same instance. */
bool Supersedes(const MemberRecord& a, const MemberRecord& b);

/** Known members; constant time to find, add, remove and draw one. */
class MemberTable {
 public:
  const std::vector<KnownMember>& members() const { return members_; }
  std::uint64_t changes() const { return changes_; }
  KnownMember& at(std::size_t i) { return members_[i]; }

  KnownMember* Find(std::string_view instance);

  /** Takes a record; true when it is news. */
  bool Merge(const MemberRecord& record, TimePoint now);

  /** Takes a line of the list; true when it is news to tell others. */
  bool AddListed(const MemberRecord& record, TimePoint now);

  void SetState(KnownMember& member, MemberState state, TimePoint now);
  void Remove(std::size_t index);

  /** Gives every suspect its whole time again. */
  void RenewSuspicions(TimePoint now);

  const KnownMember& DrawOne(RandomEngine& random) const;
  std::vector<PeerAddress> Draw(std::size_t n, RandomEngine& random) const;

  /** The usable member of `role` with the least rank for `purpose`. */
  std::optional<PeerAddress> Choose(MemberRole role,
                                    std::string_view purpose) const;

  /** Usable members of the role and place of `self` ranked before it. */
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
