#include "connection_pool.h"

#include <utility>

namespace peridotgate::gateway {
namespace {

// Requests that may not be sent twice reuse only connections that were used
// within this time, which are assumed to be still open.
constexpr Millis kRecent{1000};
// Limit on idle connections per server. A small server accepts about a hundred
// from all gateways, including those in use.
constexpr std::size_t kMaxIdle = 10;

}  // namespace

std::shared_ptr<ServerConnection> ConnectionPool::TakeIdle(
    const std::string& server_id,
    Freshness freshness) {
  auto found = idle_.find(server_id);
  if (found == idle_.end()) {
    return nullptr;
  }
  auto& kept = found->second;
  const TimePoint now = clock_.Now();
  while (!kept.empty()) {
    auto connection = std::move(kept.back());
    kept.pop_back();
    if (connection->stale(now)) {
      continue;
    }
    if (freshness == Freshness::kRecent &&
        now - connection->idle_since() > kRecent) {
      // The last is the most recently used; the others are older still.
      kept.push_back(std::move(connection));
      return nullptr;
    }
    return connection;
  }
  return nullptr;
}

std::shared_ptr<ServerConnection> ConnectionPool::Make() {
  return std::make_shared<ServerConnection>(context_, clock_, protocol_);
}

void ConnectionPool::Put(const std::string& server_id,
                         std::shared_ptr<ServerConnection> connection) {
  if (!connection->reusable()) {
    return;
  }
  auto& kept = idle_[server_id];
  connection->set_idle_since(clock_.Now());
  kept.push_back(std::move(connection));
  if (kept.size() > kMaxIdle) {
    kept.pop_front();
  }
}

void ConnectionPool::Prune(const ServerMap& servers) {
  const TimePoint now = clock_.Now();
  for (auto& [id, kept] : idle_) {
    std::erase_if(kept, [&](const auto& it) { return it->stale(now); });
  }
  std::erase_if(idle_, [&](const auto& entry) {
    return entry.second.empty() || !servers.contains(entry.first);
  });
}

std::size_t ConnectionPool::idle() const {
  std::size_t n = 0;
  for (const auto& [id, kept] : idle_) {
    n += kept.size();
  }
  return n;
}

}  // namespace peridotgate::gateway
