#include "routing/server_limits.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <set>
#include <utility>

#include <xxhash.h>

namespace peridotgate::routing {
namespace {

using coordination::QuotaKey;

// The ledger's buckets are those of servers here, not of organisations. It
// counts in whole units, and levels matter below one request.
constexpr double kUnitsPerRequest = 1000;
// Room that nobody took is kept for one request, or for this time.
constexpr double kMinBurst = 1;
constexpr double kBurstS = 0.25;
// Within this time, gateways hear what the others charged.
constexpr std::chrono::milliseconds kTurn{15};
// How many gateways have a turn at the same time, on average. Those of one turn
// and the next may all take the same room; more of them than this are needed
// only where a turn has room for more.
constexpr double kGatewaysPerTurn = 0.5;
// A server that names less still gets a request now and then, whose answer
// shows whether the limit has ended.
constexpr double kMinPerS = 0.25;
constexpr double kMaxPerS = 1e6;
// Limits that one whole report repeats; the others follow in the next ones.
constexpr std::size_t kMaxRepeated = 32;

QuotaKey KeyOf(const Incarnation& server) {
  return coordination::QuotaKeyOf(server.id + "/" +
                                  std::to_string(server.born_ms));
}

}  // namespace

ServerLimits::Entry* ServerLimits::Find(const Incarnation& server) {
  const auto found = entries_.find(server.id);
  return found != entries_.end() && found->second.born_ms == server.born_ms
             ? &found->second
             : nullptr;
}

const ServerLimits::Entry* ServerLimits::Find(const Incarnation& server) const {
  return const_cast<ServerLimits*>(this)->Find(server);
}

// The entry of this incarnation, or null if a newer one is known.
ServerLimits::Entry* ServerLimits::Renew(const Incarnation& server) {
  Entry& entry = entries_[server.id];
  if (server.born_ms < entry.born_ms) {
    return nullptr;
  }
  if (server.born_ms > entry.born_ms) {
    entry = {};
    entry.born_ms = server.born_ms;
  }
  return &entry;
}

void ServerLimits::SetLimits(TimePoint now) {
  coordination::QuotaLimits limits;
  for (const auto& [id, entry] : entries_) {
    if (entry.per_s > 0) {
      const double burst = std::max(kMinBurst, kBurstS * entry.per_s);
      limits[KeyOf({id, entry.born_ms})] = {kUnitsPerRequest * entry.per_s,
                                            kUnitsPerRequest * burst};
    }
  }
  ledger_.SetLimits(limits, now);
}

bool ServerLimits::OnAnswer(const Incarnation& server,
                            const LimitStatement& statement,
                            TimePoint now) {
  const bool names = statement.per_s && std::isfinite(*statement.per_s) &&
                     *statement.per_s >= 0;
  if (!names) {
    Entry* entry = Find(server);
    const bool ends = entry != nullptr && entry->per_s > 0 &&
                      !statement.per_s && statement.conclusive &&
                      statement.asked_at > entry->stated_at;
    if (!ends) {
      return false;
    }
    entry->per_s = 0;
    entry->stated_at = now;
    entry->unreported = true;
    SetLimits(now);
    return true;
  }
  Entry* entry = Renew(server);
  if (entry == nullptr) {
    return false;
  }
  entry->stated_at = now;
  const double per_s = std::clamp(*statement.per_s, kMinPerS, kMaxPerS);
  if (per_s == entry->per_s) {
    return false;
  }
  entry->per_s = per_s;
  entry->unreported = true;
  SetLimits(now);
  return true;
}

void ServerLimits::OnListed(
    const std::function<bool(const Incarnation&)>& listed) {
  std::erase_if(entries_, [&](const auto& it) {
    return !listed({it.first, it.second.born_ms});
  });
}

std::optional<double> ServerLimits::Get(const Incarnation& server) const {
  const Entry* entry = Find(server);
  return entry != nullptr && entry->per_s > 0 ? std::optional(entry->per_s)
                                              : std::nullopt;
}

// The share of all turns that are this gateway's.
double ServerLimits::TurnShare(double per_s) const {
  const std::size_t n = ledger_.instances();
  const double room = per_s * std::chrono::duration<double>(kTurn).count();
  return n <= 1 ? 1
                : std::min(1.0, std::max(kGatewaysPerTurn, room) /
                                    static_cast<double>(n));
}

bool ServerLimits::HasTurn(const Incarnation& server,
                           double per_s,
                           TimePoint now) const {
  const auto turn = static_cast<std::uint64_t>(now.time_since_epoch() / kTurn);
  const std::uint64_t key[] = {seed_, KeyOf(server), turn};
  constexpr double kHashes = 18446744073709551616.0;  // 2^64
  return static_cast<double>(XXH3_64bits(key, sizeof(key))) / kHashes <
         TurnShare(per_s);
}

bool ServerLimits::HasRoom(const Incarnation& server, TimePoint now) const {
  const auto per_s = Get(server);
  return !per_s || (HasTurn(server, *per_s, now) &&
                    ledger_.WouldAdmit(KeyOf(server), kUnitsPerRequest, now));
}

coordination::Duration ServerLimits::TimeToRoom(const Incarnation& server,
                                                TimePoint now) const {
  const auto per_s = Get(server);
  if (!per_s) {
    return {};
  }
  const auto turn = std::chrono::duration_cast<coordination::Duration>(
      kTurn * (1 / TurnShare(*per_s) - 1));
  return std::max(turn, ledger_.TimeToRoom(KeyOf(server), now));
}

bool ServerLimits::TryCharge(const Incarnation& server, TimePoint now) {
  return !Get(server) ||
         ledger_.Charge(KeyOf(server), kUnitsPerRequest, now).admitted;
}

void ServerLimits::Charge(const Incarnation& server, TimePoint now) {
  if (Get(server)) {
    ledger_.Add(KeyOf(server), kUnitsPerRequest, now);
  }
}

void ServerLimits::Refund(const Incarnation& server, TimePoint now) {
  if (Get(server)) {
    ledger_.Refund(KeyOf(server), kUnitsPerRequest, now);
  }
}

std::vector<LimitReport> ServerLimits::TakeReports(bool whole, TimePoint now) {
  std::set<std::string_view> chosen;
  std::map<QuotaKey, coordination::QuotaReport> charges;
  for (const auto& it : ledger_.TakeChanges(now)) {
    charges[it.organisation] = it;
  }
  for (auto& [id, entry] : entries_) {
    const bool charged = charges.contains(KeyOf({id, entry.born_ms}));
    if (std::exchange(entry.unreported, false) || charged) {
      chosen.insert(id);
    }
  }
  if (whole) {
    auto it = entries_.upper_bound(last_reported_);
    const std::size_t n = std::min(entries_.size(), kMaxRepeated);
    for (std::size_t i = 0; i < n; ++i, ++it) {
      it = it == entries_.end() ? entries_.begin() : it;
      chosen.insert(it->first);
      last_reported_ = it->first;
    }
  }
  std::vector<LimitReport> reports;
  for (const std::string_view id : chosen) {
    const auto found = entries_.find(id);
    const Entry& entry = found->second;
    LimitReport report;
    report.server = {found->first, entry.born_ms};
    report.per_s = entry.per_s;
    report.age = now - entry.stated_at;
    const auto state = ledger_.Report(KeyOf(report.server), now);
    report.charged = state.charged;
    report.level = state.level;
    reports.push_back(std::move(report));
  }
  return reports;
}

void ServerLimits::OnReports(const coordination::QuotaSender& sender,
                             std::span<const LimitReport> reports,
                             TimePoint now) {
  bool changed = false;
  std::vector<coordination::QuotaReport> charges;
  for (const LimitReport& it : reports) {
    const bool valid = std::isfinite(it.per_s) && it.per_s >= 0 &&
                       it.age >= coordination::Duration{};
    Entry* entry = valid ? Renew(it.server) : nullptr;
    if (entry == nullptr) {
      continue;
    }
    const TimePoint stated_at = now - it.age;
    if (stated_at > entry->stated_at) {
      entry->stated_at = stated_at;
      changed = changed || entry->per_s != it.per_s;
      entry->per_s = std::min(it.per_s, kMaxPerS);
    }
    charges.push_back({KeyOf(it.server), it.charged, it.level});
  }
  if (changed) {
    SetLimits(now);
  }
  ledger_.OnReports(sender, charges, now);
}

}  // namespace peridotgate::routing
