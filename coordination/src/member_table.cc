#include "member_table.h"

#include <algorithm>
#include <tuple>
#include <utility>

#include "coordination/check.h"
#include "rendezvous.h"

namespace peridotgate::coordination {
std::string_view Name(MemberState state) {
  switch (state) {
    case MemberState::kAlive:
      return "alive";
    case MemberState::kSuspect:
      return "suspect";
    case MemberState::kLeaving:
      return "leaving";
    case MemberState::kGone:
      return "gone";
  }
  return "unknown";
}

bool IsUsable(const KnownMember& member) {
  const MemberState state = member.record.state;
  return state == MemberState::kAlive || state == MemberState::kSuspect;
}

bool Supersedes(const MemberRecord& a, const MemberRecord& b) {
  return std::tie(a.incarnation, a.revision, a.state) >
         std::tie(b.incarnation, b.revision, b.state);
}

KnownMember* MemberTable::Find(std::string_view instance) {
  auto it = index_.find(std::string(instance));
  return it == index_.end() ? nullptr : &members_[it->second];
}

KnownMember& MemberTable::Add(const MemberRecord& record, TimePoint now) {
  index_[record.instance] = members_.size();
  members_.push_back({record, now, now});
  ++changes_;
  return members_.back();
}

void MemberTable::Replace(KnownMember& known,
                          const MemberRecord& record,
                          TimePoint now) {
  const bool restarted = record.incarnation > known.record.incarnation;
  const std::int64_t version = known.record.config_version;
  known.record = record;
  known.state_since = now;
  if (!restarted) {
    known.record.config_version = std::max(version, record.config_version);
  }
  ++changes_;
}

bool MemberTable::Merge(const MemberRecord& record, TimePoint now) {
  KnownMember* known = Find(record.instance);
  if (known == nullptr) {
    Add(record, now);
    return true;
  }
  if (Supersedes(record, known->record)) {
    Replace(*known, record, now);
    return true;
  }
  if (record.incarnation == known->record.incarnation) {
    known->record.config_version =
        std::max(known->record.config_version, record.config_version);
  }
  return false;
}

bool MemberTable::AddListed(const MemberRecord& record, TimePoint now) {
  KnownMember* known = Find(record.instance);
  if (known == nullptr) {
    Add(record, now);
    return true;
  }
  const bool leaving = record.state == MemberState::kLeaving;
  const bool no_longer_leaving = known->record.incarnation == 0 &&
                                 known->record.state == MemberState::kLeaving;
  if (leaving ? IsUsable(*known) : no_longer_leaving) {
    SetState(*known, record.state, now);
    return leaving;
  }
  return false;
}

void MemberTable::SetState(KnownMember& member,
                           MemberState state,
                           TimePoint now) {
  member.record.state = state;
  member.state_since = now;
  ++changes_;
}

void MemberTable::Remove(std::size_t index) {
  PG_CHECK(index < members_.size());
  index_.erase(members_[index].record.instance);
  if (index + 1 != members_.size()) {
    members_[index] = std::move(members_.back());
    index_[members_[index].record.instance] = index;
  }
  members_.pop_back();
  ++changes_;
}

void MemberTable::RenewSuspicions(TimePoint now) {
  for (KnownMember& it : members_) {
    if (it.record.state == MemberState::kSuspect) {
      it.state_since = now;
    }
  }
}

const KnownMember& MemberTable::DrawOne(RandomEngine& random) const {
  std::uniform_int_distribution<std::size_t> draw(0, members_.size() - 1);
  return members_[draw(random)];
}

std::vector<PeerAddress> MemberTable::Draw(std::size_t n,
                                           RandomEngine& random) const {
  std::vector<PeerAddress> drawn;
  if (members_.empty()) {
    return drawn;
  }
  const std::size_t max_draws = 4 * n + 8;
  for (std::size_t i = 0; i < max_draws && drawn.size() < n; ++i) {
    const MemberRecord& it = DrawOne(random).record;
    if (it.state != MemberState::kGone &&
        std::find(drawn.begin(), drawn.end(), it.address) == drawn.end()) {
      drawn.push_back(it.address);
    }
  }
  return drawn;
}

std::optional<PeerAddress> MemberTable::Choose(MemberRole role,
                                               std::string_view purpose) const {
  const MemberRecord* chosen = nullptr;
  std::uint64_t lowest_rank = 0;
  for (const KnownMember& it : members_) {
    if (it.record.role != role || !IsUsable(it)) {
      continue;
    }
    const std::uint64_t rank = RendezvousRank(it.record.instance, purpose);
    if (chosen == nullptr || rank < lowest_rank) {
      chosen = &it.record;
      lowest_rank = rank;
    }
  }
  return chosen == nullptr ? std::nullopt : std::optional(chosen->address);
}

std::size_t MemberTable::CountRankedBefore(const MemberRecord& self,
                                           std::string_view purpose) const {
  const std::uint64_t own = RendezvousRank(self.instance, purpose);
  std::size_t before = 0;
  for (const KnownMember& it : members_) {
    const bool candidate = it.record.role == self.role && IsUsable(it) &&
                           it.record.data_centre == self.data_centre;
    before +=
        candidate && RendezvousRank(it.record.instance, purpose) < own ? 1 : 0;
  }
  return before;
}

}  // namespace peridotgate::coordination
