#include "bulk_sender.h"

#include <algorithm>
#include <utility>

namespace peridotgate::coordination {

BulkSender::BulkSender(const GossipOptions& options,
                       const ConfigurationFollower& follower,
                       const Clock& clock)
    : options_(options),
      follower_(follower),
      clock_(clock),
      sender_(options, clock) {}

void BulkSender::SendChange(const PeerAddress& to, const Change& change) {
  if (!sender_.IsSendingTo(to)) {
    StartTransfer(to, SplitChange(change, options_.piece_bytes));
  }
}

void BulkSender::SendSnapshot(const PeerAddress& to, std::int64_t version) {
  if (!sender_.IsSendingTo(to)) {
    StartTransfer(to, SnapshotNewerThan(version));
  }
}

void BulkSender::OnAnnounced(std::int64_t version) {
  if (IsBulk(version)) {
    announcements_left_ = options_.bulk_announcements;
  }
}

bool BulkSender::TakeAnnouncement() {
  if (announcements_left_ <= 0 || !sender_.HasRoom()) {
    return false;
  }
  --announcements_left_;
  return true;
}

void BulkSender::Tick(std::vector<OutgoingGossip>& outgoing) {
  sender_.Tick(outgoing);
  if (snapshot_ &&
      clock_.Now() - snapshot_time_ >= options_.snapshot_cache_ttl) {
    snapshot_.reset();
  }
}

void BulkSender::StartTransfer(const PeerAddress& to, Pieces pieces) {
  if (sender_.Start(to, std::move(pieces)) && announcements_left_ > 0) {
    announcements_left_ = options_.bulk_announcements;
  }
}

// Reuses a recent snapshot, because the changes after it are still kept.
Pieces BulkSender::SnapshotNewerThan(std::int64_t version) {
  const bool is_fresh =
      clock_.Now() - snapshot_time_ < options_.snapshot_cache_ttl;
  if (!snapshot_ || !is_fresh || snapshot_version_ <= version) {
    snapshot_ = SplitSnapshot(follower_.version(), follower_.Export(),
                              options_.piece_bytes);
    snapshot_version_ = follower_.version();
    snapshot_time_ = clock_.Now();
  }
  return snapshot_;
}

// Whether the changes after `version` need a snapshot, or one of them is too
// large for a single message.
bool BulkSender::IsBulk(std::int64_t version) const {
  const auto changes = follower_.ChangesSince(version);
  return !changes ||
         std::any_of(changes->begin(), changes->end(), [&](const auto& it) {
           return SizeOf(it) > options_.push_bytes;
         });
}

}  // namespace peridotgate::coordination
