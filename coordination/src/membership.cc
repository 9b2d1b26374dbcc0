#include "coordination/membership.h"

#include <algorithm>
#include <utility>

#include "member_joins.h"
#include "member_pings.h"
#include "member_table.h"
#include "pending_broadcasts.h"

namespace peridotgate::coordination {
namespace {

constexpr std::size_t kSampleRecords = 2;
constexpr unsigned kPingsPerGoneMember = 8;

}  // namespace

struct Membership::Impl {
  Impl(MembershipOptions options,
       MemberRecord own,
       const Clock& clock,
       std::uint64_t seed)
      : options(options),
        self(std::move(own)),
        clock(clock),
        random(seed),
        last_tick(clock.Now()),
        next_ping(clock.Now()),
        next_broadcast(clock.Now()) {}

  MembershipOptions options;
  MemberRecord self;
  const Clock& clock;
  RandomEngine random;
  MemberTable table;
  PendingBroadcasts pending_broadcasts;
  MemberPings pings;
  MemberJoins joins;
  std::vector<OutgoingMembers> outgoing;
  TimePoint last_tick;
  TimePoint next_ping;
  TimePoint next_broadcast;
  unsigned pings_sent = 0;
  bool reported_leaving = false;

  void QueueBroadcast(const std::string& instance) {
    pending_broadcasts.Add(instance, options.broadcasts_per_change);
  }

  void MergeRecord(const MemberRecord& record) {
    if (record.instance.empty()) {
      return;
    }
    if (record.instance == self.instance) {
      Refute(record);
      return;
    }
    if (table.Merge(record, clock.Now())) {
      QueueBroadcast(record.instance);
    }
  }

  // Overrides a newer record of this process by raising the revision of its own
  // record above it. A leaving state is not overridden, only noted for the
  // owner.
  void Refute(const MemberRecord& record) {
    if (!options.refute_suspicion || !Supersedes(record, self)) {
      return;
    }
    if (record.state == MemberState::kLeaving) {
      reported_leaving = true;  // The owner calls `Leave` or `Return`.
      return;
    }
    self.incarnation = std::max(self.incarnation, record.incarnation);
    self.revision = std::max(self.revision, record.revision) + 1;
    QueueBroadcast(self.instance);
  }

  void SetOwnState(MemberState state) {
    const bool unchanged = self.state == state && !reported_leaving;
    reported_leaving = false;
    if (unchanged) {
      return;
    }
    self.state = state;
    ++self.revision;
    QueueBroadcast(self.instance);
    next_broadcast = clock.Now();
    BroadcastChanges();
  }

  const MemberRecord* FindRecord(const std::string& instance) {
    if (instance == self.instance) {
      return &self;
    }
    const KnownMember* known = table.Find(instance);
    return known == nullptr ? nullptr : &known->record;
  }

  // Returns this process's own record, records with pending broadcasts, and a
  // random sample of the others. Skips the record of `receiver`, because a
  // message that ends with its receiver's record is a ping.
  std::vector<MemberRecord> MakeRecords(std::string_view receiver,
                                        std::size_t max_records) {
    std::vector<MemberRecord> records{self};
    for (const PendingBroadcast& it : pending_broadcasts.all()) {
      const MemberRecord* record = FindRecord(it.instance);
      if (records.size() >= max_records) {
        break;
      }
      if (record != nullptr && it.instance != self.instance &&
          it.instance != receiver) {
        records.push_back(*record);
      }
    }
    for (std::size_t i = 0; i < kSampleRecords && !table.members().empty();
         ++i) {
      const MemberRecord& sample = table.DrawOne(random).record;
      if (records.size() < max_records && sample.instance != receiver) {
        records.push_back(sample);
      }
    }
    return records;
  }

  void SendPing(const KnownMember& member) {
    auto records =
        MakeRecords(member.record.instance, options.records_per_message - 1);
    records.push_back(member.record);
    outgoing.push_back({member.record.address, std::move(records)});
  }

  void Reply(const PeerAddress& from, std::span<const MemberRecord> records) {
    const MemberRecord& target = records.back();
    const bool joining = MemberJoins::IsJoin(target);
    if (joining || target.instance == self.instance) {
      outgoing.push_back({from, MakeRecords(records.front().instance,
                                            options.records_per_message)});
    }
    if (joining) {
      joins.AppendFullList(from, self, table.members(), outgoing);
    }
  }

  void MarkHeard(const std::string& instance) {
    pings.Remove(instance);
    if (KnownMember* it = table.Find(instance)) {
      it->last_heard = clock.Now();
    }
  }

  void StartPing() {
    if (clock.Now() < next_ping) {
      return;
    }
    std::uniform_int_distribution<std::int64_t> jitter(
        0, options.ping_period.count());
    joins.StartPeriod(options.full_lists_per_period);
    next_ping =
        clock.Now() + options.ping_period / 2 + Duration(jitter(random));
    if (const auto seed = joins.TakeSeed(random)) {
      outgoing.push_back(MemberJoins::MakeJoin(self, *seed));
    }
    if (!table.members().empty()) {
      PingRandomMember();
    }
  }

  // Every `kPingsPerGoneMember`th ping goes to a member that is gone, all
  // others to members that should reply. Sends none if no such member is drawn.
  void PingRandomMember() {
    const bool ping_gone = ++pings_sent % kPingsPerGoneMember == 0;
    constexpr int kMaxDraws = 16;
    for (int i = 0; i < kMaxDraws; ++i) {
      const KnownMember& it = table.DrawOne(random);
      if ((it.record.state == MemberState::kGone) == ping_gone) {
        SendPing(it);
        if (!ping_gone) {
          pings.Add(
              {it.record.instance, 1, clock.Now() + options.ping_timeout});
        }
        return;
      }
    }
  }

  void HandlePingTimeouts() {
    for (const MemberPing& it : pings.TakeExpired(clock.Now())) {
      KnownMember* member = table.Find(it.instance);
      if (member == nullptr) {
        continue;
      }
      if (it.attempt < options.ping_attempts) {
        SendPing(*member);
        pings.Add(
            {it.instance, it.attempt + 1, clock.Now() + options.ping_timeout});
      } else {
        MarkUnresponsive(*member);
      }
    }
  }

  void SetState(KnownMember& member, MemberState state) {
    table.SetState(member, state, clock.Now());
    QueueBroadcast(member.record.instance);
  }

  void MarkUnresponsive(KnownMember& member) {
    if (member.record.state == MemberState::kAlive) {
      SetState(member, MemberState::kSuspect);
    } else if (member.record.state == MemberState::kLeaving) {
      SetState(member, MemberState::kGone);
    }
  }

  void ExpireStates() {
    for (std::size_t i = 0; i < table.members().size();) {
      KnownMember& it = table.at(i);
      const Duration age = clock.Now() - it.state_since;
      const MemberState state = it.record.state;
      if (state == MemberState::kGone && age > options.tombstone_retention) {
        table.Remove(i);
        continue;
      }
      if (state == MemberState::kSuspect && age > options.suspicion_timeout) {
        SetState(it, MemberState::kGone);
      }
      ++i;
    }
  }

  void BroadcastChanges() {
    if (clock.Now() < next_broadcast) {
      return;
    }
    next_broadcast = clock.Now() + options.broadcast_interval;
    if (pending_broadcasts.empty()) {
      return;
    }
    const auto records = MakeRecords("", options.records_per_message);
    for (const PeerAddress& it : table.Draw(options.fan_out, random)) {
      outgoing.push_back({it, records});
      // A message that ends with its receiver's record would be a ping.
      std::erase_if(outgoing.back().members, [&](const MemberRecord& record) {
        return record.address == it;
      });
    }
    pending_broadcasts.CountDown(options.records_per_message - 1);
  }

  // After a pause of this process, missing replies do not show that peers have
  // failed.
  void DetectPause() {
    if (clock.Now() - last_tick > options.ping_timeout) {
      pings.Clear();
      table.RenewSuspicions(clock.Now());
    }
    last_tick = clock.Now();
  }
};

Membership::Membership(MembershipOptions options,
                       MemberRecord self,
                       const Clock& clock,
                       std::uint64_t seed)
    : impl_(std::make_unique<Impl>(options, std::move(self), clock, seed)) {}

Membership::~Membership() = default;

void Membership::OnRecords(const PeerAddress& from,
                           std::span<const MemberRecord> records) {
  if (records.empty()) {
    return;
  }
  for (const MemberRecord& it : records) {
    impl_->MergeRecord(it);
  }
  impl_->MarkHeard(records.front().instance);
  if (records.size() > impl_->options.records_per_message) {
    impl_->joins.OnFullList();
  }
  impl_->Reply(from, records);
}

void Membership::OnHeard(std::string_view instance,
                         std::int64_t config_version) {
  impl_->MarkHeard(std::string(instance));
  if (KnownMember* it = impl_->table.Find(instance)) {
    it->record.config_version =
        std::max(it->record.config_version, config_version);
  }
}

void Membership::AddListed(const MemberRecord& record) {
  Impl& it = *impl_;
  if (record.instance != it.self.instance &&
      it.table.AddListed(record, it.clock.Now())) {
    it.QueueBroadcast(record.instance);
  }
}

void Membership::AddSeeds(std::vector<PeerAddress> seeds) {
  impl_->joins.SetSeeds(std::move(seeds));
}

void Membership::Leave() {
  impl_->SetOwnState(MemberState::kLeaving);
}

void Membership::Return() {
  impl_->SetOwnState(MemberState::kAlive);
}

bool Membership::told_leaving() const {
  return impl_->reported_leaving && impl_->self.state != MemberState::kLeaving;
}

void Membership::SetWeightsVersion(std::int64_t version) {
  impl_->self.weights_version = version;
  ++impl_->self.revision;
  impl_->QueueBroadcast(impl_->self.instance);
}

void Membership::SetConfigVersion(std::int64_t version) {
  impl_->self.config_version = version;
}

void Membership::Tick() {
  Impl& it = *impl_;
  it.DetectPause();
  it.HandlePingTimeouts();
  it.StartPing();
  it.ExpireStates();
  it.BroadcastChanges();
}

std::vector<OutgoingMembers> Membership::TakeOutgoing() {
  return std::exchange(impl_->outgoing, {});
}

std::vector<PeerAddress> Membership::Draw(std::size_t n,
                                          RandomEngine& random) const {
  return impl_->table.Draw(n, random);
}

const MemberRecord& Membership::self() const {
  return impl_->self;
}

const std::vector<KnownMember>& Membership::members() const {
  return impl_->table.members();
}

const KnownMember* Membership::Find(std::string_view instance) const {
  return impl_->table.Find(instance);
}

std::uint64_t Membership::changes() const {
  return impl_->table.changes();
}

std::optional<PeerAddress> Membership::Choose(MemberRole role,
                                              std::string_view purpose) const {
  return impl_->table.Choose(role, purpose);
}

bool Membership::IsChosen(std::size_t n, std::string_view purpose) const {
  return impl_->table.CountRankedBefore(impl_->self, purpose) < n;
}

}  // namespace peridotgate::coordination
