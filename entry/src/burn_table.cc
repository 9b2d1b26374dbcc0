#include "burn_table.h"

#include <algorithm>
#include <tuple>

namespace peridotgate::entry {
namespace {

namespace json = boost::json;
using std::chrono::microseconds;

constexpr double kPpm = 1e6;

}  // namespace

bool BurnKey::operator<(const BurnKey& other) const {
  return std::tie(organisation, kind) <
         std::tie(other.organisation, other.kind);
}

BurnTable::BurnTable(runtime::Metrics& metrics) : metrics_(metrics) {}

// Returns `wanted` if the table has it or has room for it, else the key of the
// overflow series.
BurnKey BurnTable::KeyFor(microseconds age, BurnKey wanted) {
  if (kinds_.contains(wanted)) {
    return wanted;
  }
  if (kinds_.size() >= kMostBurnKinds) {
    std::erase_if(kinds_, [&](const auto& it) {
      return it.second.open_calls == 0 && it.second.series.IsIdle(age);
    });
  }
  if (kinds_.size() < kMostBurnKinds) {
    return wanted;
  }
  metrics_
      .GetCounter("peridotgate_entry_burn_folded_total", {{"series", "kind"}})
      .Add();
  return {std::string(kOtherSeries), std::string(kOtherSeries)};
}

KindSeries BurnTable::MakeKind(const BurnKey& key) {
  const auto counter = [&](std::string_view result) {
    return &metrics_.GetCounter("peridotgate_entry_objective_calls_total",
                                {{"organisation", key.organisation},
                                 {"kind", key.kind},
                                 {"result", result}});
  };
  KindSeries kind;
  kind.good = counter("good");
  kind.bad = counter("bad");
  kind.budget_ppm = &metrics_.GetGauge(
      "peridotgate_entry_error_budget_ppm",
      {{"organisation", key.organisation}, {"kind", key.kind}});
  return kind;
}

KindSeries& BurnTable::Find(microseconds age,
                            const wire::OrganisationRules& organisation,
                            const wire::KindRules& rules) {
  const BurnKey key = KeyFor(age, {organisation.name, rules.name});
  auto it = kinds_.find(key);
  if (it == kinds_.end()) {
    it = kinds_.emplace(key, MakeKind(key)).first;
  }
  KindSeries& kind = it->second;
  if (key.kind == kOtherSeries) {
    // The overflow series takes the strictest objective of its kinds: an early
    // alert is better than a late one.
    kind.objective_ratio =
        std::max(kind.objective_ratio, rules.objective_ratio);
  } else {
    kind.share = organisation.share;
    kind.objective_ratio = rules.objective_ratio;
    kind.first_token_ms = rules.first_token_objective_ms;
    kind.token_gap_ms = rules.token_gap_objective_ms;
  }
  kind.budget_ppm->Set(
      static_cast<std::int64_t>(kPpm * (1 - kind.objective_ratio)));
  return kind;
}

// Evicts idle servers if the table is full. If none is idle and the new server
// has errors, merges one without errors into the overflow series. Returns
// whether the new server may be added.
bool BurnTable::MakeRoom(microseconds age, bool has_errors) {
  if (servers_.size() < kMostBurnServers) {
    return true;
  }
  const auto erased = std::erase_if(
      servers_, [&](const auto& it) { return it.second.IsIdle(age); });
  if (erased > 0 || !has_errors) {
    return erased > 0;
  }
  auto it = std::find_if(servers_.begin(), servers_.end(), [](const auto& it) {
    return it.first != kOtherSeries && it.second.IsClean();
  });
  if (it == servers_.end()) {
    return false;
  }
  servers_[std::string(kOtherSeries)].Merge(it->second);
  servers_.erase(it);
  return true;
}

void BurnTable::AddServer(microseconds age,
                          const std::string& agent,
                          const BurnCounts& counts) {
  const bool has_errors = counts.bad > 0 || counts.lost > 0;
  if (servers_.contains(agent) || MakeRoom(age, has_errors)) {
    servers_[agent].Add(age, counts);
    return;
  }
  metrics_
      .GetCounter("peridotgate_entry_burn_folded_total", {{"series", "server"}})
      .Add();
  servers_[std::string(kOtherSeries)].Add(age, counts);
}

json::array BurnTable::KindsToJson(microseconds age,
                                   const BurnWindow& window) const {
  json::array all;
  for (const auto& [key, it] : kinds_) {
    if (it.series.IsIdle(age)) {
      continue;
    }
    all.push_back({{"organisation", key.organisation},
                   {"kind", key.kind},
                   {"share", it.share},
                   {"objective_ratio", it.objective_ratio},
                   {"first_token_ms", it.first_token_ms},
                   {"token_gap_ms", it.token_gap_ms},
                   {"windows", it.series.RatiosToJson(age)},
                   {"bars", it.series.BarsToJson(age, window)},
                   {"counts", CountsToJson(it.series.Sum(age, window))}});
  }
  return all;
}

json::array BurnTable::ServersToJson(microseconds age,
                                     const BurnWindow& window) const {
  json::array all;
  for (const auto& [agent, it] : servers_) {
    const json::object counts = CountsToJson(it.Sum(age, window));
    if (!counts.empty()) {
      all.push_back({{"agent", agent}, {"counts", counts}});
    }
  }
  return all;
}

}  // namespace peridotgate::entry
