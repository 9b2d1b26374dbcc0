#include "routing/server_standing.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace peridotgate::routing {
namespace {

// A server that asks for more than this may have meant another unit.
constexpr double kMaxPauseS = 60;
// Entries return within seconds of an outage of the store.
constexpr std::chrono::minutes kKeptUnlisted{10};

}  // namespace

std::optional<coordination::Duration> ReadPause(double seconds) {
  if (!std::isfinite(seconds) || seconds < 0) {
    return std::nullopt;
  }
  return std::chrono::ceil<coordination::Duration>(
      std::chrono::duration<double>(std::min(seconds, kMaxPauseS)));
}

bool ServerStanding::OnNotice(const ServerNotice& notice, TimePoint now) {
  if (!notice.leaving && !notice.pause) {
    return false;
  }
  const Incarnation& server = notice.server;
  Entry& entry = entries_[server.id];
  if (server.born_ms < entry.born_ms) {
    return false;
  }
  if (server.born_ms > entry.born_ms) {
    entry.born_ms = server.born_ms;
    entry.leaving = false;
    entry.paused_until = {};
  }
  bool changed = false;
  if (notice.leaving && !entry.leaving) {
    entry.leaving = true;
    new_leaving_.push_back(server);
    changed = true;
  }
  if (notice.pause && now + *notice.pause > entry.paused_until) {
    entry.paused_until = now + *notice.pause;
    changed = true;
  }
  return changed;
}

bool ServerStanding::OnReported(const Incarnation& server) {
  auto& reported = entries_[server.id].reported_born_ms;
  if (reported && *reported >= server.born_ms) {
    return false;
  }
  reported = server.born_ms;
  return true;
}

// Only a newer incarnation than the one that spoke is free of what was said.
Standing ServerStanding::Of(std::string_view id, std::int64_t born_ms) const {
  Standing standing;
  const auto found = entries_.find(id);
  if (found == entries_.end()) {
    return standing;
  }
  const Entry& entry = found->second;
  if (born_ms <= entry.born_ms) {
    standing.leaving = entry.leaving;
    standing.paused_until = entry.paused_until;
  }
  standing.reported =
      entry.reported_born_ms && born_ms <= *entry.reported_born_ms;
  return standing;
}

void ServerStanding::OnListed(
    const std::function<bool(std::string_view id)>& listed,
    TimePoint now) {
  for (auto& [id, entry] : entries_) {
    if (entry.listed_at == TimePoint{} || listed(id)) {
      entry.listed_at = now;
    }
  }
  std::erase_if(entries_, [&](const auto& it) {
    return now - it.second.listed_at > kKeptUnlisted;
  });
}

std::vector<Incarnation> ServerStanding::NextLeaving(std::size_t max) {
  std::vector<Incarnation> next;
  auto it = entries_.upper_bound(last_sent_);
  for (std::size_t i = 0; i < entries_.size() && next.size() < max; ++i) {
    it = it == entries_.end() ? entries_.begin() : it;
    if (it->second.leaving) {
      next.push_back({it->first, it->second.born_ms});
    }
    last_sent_ = it->first;
    ++it;
  }
  return next;
}

std::vector<Incarnation> ServerStanding::TakeNewLeaving() {
  return std::exchange(new_leaving_, {});
}

}  // namespace peridotgate::routing
