#include "gateway/feed_plan.h"

#include <algorithm>
#include <utility>

namespace peridotgate::gateway {
namespace {

// How long a peer is skipped after it gave no fresh answer.
constexpr std::chrono::milliseconds kPeerPause{2000};

}  // namespace

FeedPlan::FeedPlan(runtime::Endpoint own, std::string data_centre)
    : own_(std::move(own)), data_centre_(std::move(data_centre)) {}

void FeedPlan::OnPeers(std::vector<PeerGateway> peers) {
  std::erase_if(peers, [&](const auto& it) { return it.address == own_; });
  std::sort(peers.begin(), peers.end(), [](const auto& a, const auto& b) {
    return runtime::ToString(a.address) < runtime::ToString(b.address);
  });
  peers_ = std::move(peers);
}

bool FeedPlan::IsSkipped(const runtime::Endpoint& peer, TimePoint now) const {
  const auto failed = failed_at_.find(runtime::ToString(peer));
  return failed != failed_at_.end() && now - failed->second < kPeerPause;
}

std::optional<runtime::Endpoint> FeedPlan::PrecedingReader(
    TimePoint now) const {
  const std::string own = runtime::ToString(own_);
  for (const PeerGateway& it : peers_) {
    if (it.data_centre != data_centre_ || IsSkipped(it.address, now)) {
      continue;
    }
    if (runtime::ToString(it.address) < own) {
      return it.address;
    }
    break;
  }
  return std::nullopt;
}

bool FeedPlan::ReadsStore(TimePoint now) const {
  return !PrecedingReader(now);
}

std::optional<runtime::Endpoint> FeedPlan::PeerToAsk(TimePoint now) {
  if (auto reader = PrecedingReader(now)) {
    return reader;
  }
  if (!store_lost_) {
    return std::nullopt;
  }
  for (std::size_t i = 0; i < peers_.size(); ++i) {
    const auto& peer = peers_[next_asked_ % peers_.size()].address;
    if (!IsSkipped(peer, now)) {
      return peer;
    }
    ++next_asked_;
  }
  return std::nullopt;
}

void FeedPlan::OnStoreResult(bool answered, TimePoint now) {
  store_lost_ = !answered;
  if (answered) {
    confirmed_at_ = now;
  }
}

bool FeedPlan::OnPeerAnswer(const runtime::Endpoint& peer,
                            std::optional<coordination::Duration> age,
                            TimePoint now) {
  if (age) {
    const TimePoint confirmed = now - *age;
    confirmed_at_ =
        confirmed_at_ ? std::max(*confirmed_at_, confirmed) : confirmed;
  }
  const bool fresh = age && *age <= kFresh;
  if (fresh) {
    failed_at_.erase(runtime::ToString(peer));
  } else {
    failed_at_[runtime::ToString(peer)] = now;
  }
  return fresh;
}

std::optional<coordination::Duration> FeedPlan::Age(TimePoint now) const {
  if (!confirmed_at_) {
    return std::nullopt;
  }
  return now - *confirmed_at_;
}

}  // namespace peridotgate::gateway
