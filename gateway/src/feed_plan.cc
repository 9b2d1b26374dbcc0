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

// The gateways of the data centre that come before this one, in order.
std::vector<const PeerGateway*> FeedPlan::Preceding() const {
  std::vector<const PeerGateway*> preceding;
  for (const PeerGateway& it : peers_) {
    if (Precedes(it)) {
      preceding.push_back(&it);
    }
  }
  return preceding;
}

// The gateway to follow; null if there is none.
const PeerGateway* FeedPlan::Source() const {
  const auto preceding = Preceding();
  for (std::size_t rank = preceding.size(); rank > 0;) {
    rank = (rank - 1) / kFanOut;
    if (!IsSkipped(*preceding[rank])) {
      return preceding[rank];
    }
  }
  const auto found =
      std::find_if(preceding.begin(), preceding.end(),
                   [&](const auto* it) { return !IsSkipped(*it); });
  return found == preceding.end() ? nullptr : *found;
}

// Whether rows that the peer got from another gateway are good enough to
// follow it.
bool FeedPlan::MayRelay(const runtime::Endpoint& peer) const {
  const auto preceding = Preceding();
  return std::any_of(preceding.begin(), preceding.end(), [&](const auto* it) {
    return it != preceding.front() && it->address == peer;
  });
}

bool FeedPlan::ReadsStore(TimePoint now) const {
  const auto age = Age(now);
  return (age && *age > kMaxAge) || Source() == nullptr;
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
  if (const PeerGateway* source = Source()) {
    return PeerQuery{source->address, false};
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
  if (rows && rows->age <= kFresh && (rows->from_store || MayRelay(peer))) {
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
