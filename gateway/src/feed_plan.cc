#include "gateway/feed_plan.h"

#include <algorithm>
#include <utility>

namespace peridotgate::gateway {
namespace {

// Time until a skipped peer is probed again; doubled with each failed probe, as
// a peer that does not answer delays the query that follows the probe.
constexpr std::chrono::milliseconds kPeerPause{1000};
constexpr std::chrono::milliseconds kMaxPeerPause{16000};

}  // namespace

bool TakesDutyBefore(const PeerGateway& a, const PeerGateway& b) {
  if (a.capacity != b.capacity) {
    return a.capacity > b.capacity;
  }
  return runtime::ToString(a.address) < runtime::ToString(b.address);
}

FeedPlan::FeedPlan(PeerGateway own) : own_(std::move(own)) {}

void FeedPlan::OnPeers(std::vector<PeerGateway> peers) {
  std::erase_if(peers,
                [&](const auto& it) { return it.address == own_.address; });
  std::sort(peers.begin(), peers.end(), TakesDutyBefore);
  peers_ = std::move(peers);
}

bool FeedPlan::IsSkipped(const PeerGateway& peer) const {
  return skipped_.contains(runtime::ToString(peer.address));
}

bool FeedPlan::IsProbeDue(const PeerGateway& peer, TimePoint now) const {
  const auto found = skipped_.find(runtime::ToString(peer.address));
  return found == skipped_.end() ||
         now - found->second.since >= found->second.pause;
}

bool FeedPlan::Precedes(const PeerGateway& peer) const {
  return peer.data_centre == own_.data_centre && TakesDutyBefore(peer, own_);
}

std::optional<runtime::Endpoint> FeedPlan::PrecedingReader() const {
  for (const PeerGateway& it : peers_) {
    if (Precedes(it) && !IsSkipped(it)) {
      return it.address;
    }
  }
  return std::nullopt;
}

bool FeedPlan::ReadsStore(TimePoint now) const {
  const auto age = Age(now);
  return (age && *age > kMaxAge) || !PrecedingReader();
}

// Whether the store does not provide fresh rows, so that any peer may help.
bool FeedPlan::NeedsPeers(TimePoint now) const {
  const bool lost = std::any_of(feeds_.begin(), feeds_.end(),
                                [](const FeedState& it) { return it.lost; });
  const auto age = Age(now);
  return lost || (age && *age > kFresh);
}

std::optional<PeerQuery> FeedPlan::PeerToAsk(TimePoint now) {
  for (const PeerGateway& it : peers_) {
    if (Precedes(it) && IsSkipped(it) && IsProbeDue(it, now)) {
      return PeerQuery{it.address, true};
    }
  }
  if (auto reader = PrecedingReader()) {
    return PeerQuery{*reader, false};
  }
  if (!NeedsPeers(now)) {
    return std::nullopt;
  }
  for (std::size_t i = 0; i < peers_.size(); ++i) {
    const PeerGateway& peer = peers_[next_asked_ % peers_.size()];
    if (IsProbeDue(peer, now)) {
      const bool followed = followed_ == peer.address;
      return PeerQuery{peer.address, !followed};
    }
    ++next_asked_;
  }
  return std::nullopt;
}

void FeedPlan::OnStoreResult(Feed feed, bool answered, TimePoint now) {
  FeedState& state = feeds_[static_cast<std::size_t>(feed)];
  state.lost = !answered;
  if (answered) {
    state.confirmed_at = now;
    state.store_call_at = now;
  }
}

bool FeedPlan::OnPeerAnswer(const runtime::Endpoint& peer,
                            std::optional<PeerRows> rows,
                            TimePoint now) {
  if (rows) {
    const TimePoint confirmed = now - rows->age;
    for (FeedState& it : feeds_) {
      it.confirmed_at =
          it.confirmed_at ? std::max(*it.confirmed_at, confirmed) : confirmed;
    }
  }
  const std::string address = runtime::ToString(peer);
  if (rows && rows->from_store && rows->age <= kFresh) {
    skipped_.erase(address);
    followed_ = peer;
    return true;
  }
  Skipped& it = skipped_[address];
  it.pause = std::clamp<coordination::Duration>(2 * it.pause, kPeerPause,
                                                kMaxPeerPause);
  it.since = now;
  if (followed_ == peer) {
    followed_.reset();
  }
  return false;
}

bool FeedPlan::IsDirect(TimePoint now) const {
  return ReadsStore(now) &&
         std::all_of(feeds_.begin(), feeds_.end(), [&](const FeedState& it) {
           return !it.lost && it.store_call_at &&
                  now - *it.store_call_at <= kFresh;
         });
}

std::optional<coordination::Duration> FeedPlan::Age(TimePoint now) const {
  TimePoint oldest = now;
  for (const FeedState& it : feeds_) {
    if (!it.confirmed_at) {
      return std::nullopt;
    }
    oldest = std::min(oldest, *it.confirmed_at);
  }
  return now - oldest;
}

}  // namespace peridotgate::gateway
