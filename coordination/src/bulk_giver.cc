#include "bulk_giver.h"

#include <algorithm>
#include <utility>

namespace peridotgate::coordination {

BulkGiver::BulkGiver(const GossipOptions& options,
                     const ConfigurationFollower& follower,
                     const Clock& clock)
    : options_(options),
      follower_(follower),
      clock_(clock),
      sender_(options, clock) {}

void BulkGiver::GiveChange(const PeerAddress& to, const Change& change) {
  if (!sender_.IsSendingTo(to)) {
    Give(to, SplitChange(change, options_.piece_bytes));
  }
}

void BulkGiver::GiveSnapshot(const PeerAddress& to, std::int64_t version) {
  if (!sender_.IsSendingTo(to)) {
    Give(to, SnapshotAbove(version));
  }
}

void BulkGiver::NoteTold(std::int64_t version) {
  if (IsBulk(version)) {
    tells_ = options_.bulk_announcements;
  }
}

bool BulkGiver::TakeTell() {
  if (tells_ <= 0 || !sender_.HasRoom()) {
    return false;
  }
  --tells_;
  return true;
}

void BulkGiver::Tick(std::vector<OutgoingGossip>& outgoing) {
  sender_.Tick(outgoing);
  if (snapshot_ &&
      clock_.Now() - snapshot_made_ >= options_.snapshot_cache_ttl) {
    snapshot_.reset();
  }
}

void BulkGiver::Give(const PeerAddress& to, Pieces pieces) {
  if (sender_.Start(to, std::move(pieces)) && tells_ > 0) {
    tells_ = options_.bulk_announcements;
  }
}

// One that was made lately will do: the changes after it are kept.
Pieces BulkGiver::SnapshotAbove(std::int64_t version) {
  const bool is_fresh =
      clock_.Now() - snapshot_made_ < options_.snapshot_cache_ttl;
  if (!snapshot_ || !is_fresh || snapshot_version_ <= version) {
    snapshot_ = SplitSnapshot(follower_.version(), follower_.Export(),
                              options_.piece_bytes);
    snapshot_version_ = follower_.version();
    snapshot_made_ = clock_.Now();
  }
  return snapshot_;
}

// Whether what came after `version` is too large for one message.
bool BulkGiver::IsBulk(std::int64_t version) const {
  const auto changes = follower_.ChangesSince(version);
  return !changes ||
         std::any_of(changes->begin(), changes->end(), [&](const auto& it) {
           return SizeOf(it) > options_.push_bytes;
         });
}

}  // namespace peridotgate::coordination
