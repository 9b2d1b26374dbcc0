#include "operate/burn_report.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <numeric>
#include <tuple>

#include <spdlog/fmt/fmt.h>

#include "entry/problem.h"

namespace peridotgate::operate {
namespace {

using entry::BurnCells;
using entry::BurnCounts;

constexpr double kHighQuantile = 0.95;
constexpr double kUnderServedRatio = 0.8;
constexpr double kOverServedRatio = 1.2;

double BurnRate(const BurnRatio& counts, double objective_ratio) {
  const double allowed = 1 - objective_ratio;
  if (counts.calls == 0 || allowed <= 0) {
    return 0;
  }
  return static_cast<double>(counts.bad) / static_cast<double>(counts.calls) /
         allowed;
}

std::string_view AlertFor(const KindReport& kind) {
  for (const BurnAlert& it : kBurnAlerts) {
    if (kind.burn[it.short_window] > it.rate &&
        kind.burn[it.long_window] > it.rate) {
      return it.name;
    }
  }
  return {};
}

KindReport MakeKind(const BurnKind& from) {
  KindReport kind;
  kind.organisation = from.organisation;
  kind.kind = from.kind;
  kind.objective_ratio = from.objective_ratio;
  kind.first_token_ms = from.first_token_ms;
  kind.token_gap_ms = from.token_gap_ms;
  kind.counts = from.counts;
  for (std::size_t i = 0; i < kBurnWindows.size(); ++i) {
    kind.burn[i] = BurnRate(from.windows[i], from.objective_ratio);
  }
  const BurnRatio observed{from.counts.calls, from.counts.bad};
  kind.budget_left = 1 - BurnRate(observed, from.objective_ratio);
  kind.alert = AlertFor(kind);
  kind.first_p95_ms = QuantileOf(kind.counts.first_ms, kHighQuantile);
  kind.gap_p95_ms = QuantileOf(kind.counts.gap_ms, kHighQuantile);
  kind.bars = from.bars;
  std::sort(kind.bars.begin(), kind.bars.end(),
            [](const auto& a, const auto& b) { return a.age_s > b.age_s; });
  return kind;
}

struct KindKey {
  std::string organisation;
  std::string kind;

  bool operator<(const KindKey& other) const {
    return std::tie(organisation, kind) <
           std::tie(other.organisation, other.kind);
  }
};

// A kind summed over all entries, with the newest rules that they report.
struct MergedKind {
  std::int64_t rules_version = -1;
  BurnKind sum;
};

using MergedKinds = std::map<KindKey, MergedKind>;

void AddRatio(const BurnRatio& from, BurnRatio& into) {
  into.calls += from.calls;
  into.bad += from.bad;
}

// Adds bars by age, so that entries' clocks need not be synchronised.
void AddBars(const std::vector<BurnBar>& from, std::vector<BurnBar>& into) {
  for (const BurnBar& it : from) {
    auto same = std::find_if(
        into.begin(), into.end(),
        [&](const BurnBar& known) { return known.age_s == it.age_s; });
    if (same == into.end()) {
      into.push_back(it);
    } else {
      AddRatio(it.ratio, same->ratio);
    }
  }
}

void CopyRules(const BurnKind& from, BurnKind& into) {
  into.organisation = from.organisation;
  into.kind = from.kind;
  into.share = from.share;
  into.objective_ratio = from.objective_ratio;
  into.first_token_ms = from.first_token_ms;
  into.token_gap_ms = from.token_gap_ms;
}

void MergeKind(const BurnKind& from,
               std::int64_t rules_version,
               MergedKinds& kinds) {
  MergedKind& kind = kinds[{from.organisation, from.kind}];
  if (rules_version > kind.rules_version) {
    kind.rules_version = rules_version;
    CopyRules(from, kind.sum);
  }
  for (std::size_t i = 0; i < from.windows.size(); ++i) {
    AddRatio(from.windows[i], kind.sum.windows[i]);
  }
  kind.sum.counts.Add(from.counts);
  AddBars(from.bars, kind.sum.bars);
}

std::vector<OrganisationReport> MakeOrganisations(const MergedKinds& kinds) {
  std::map<std::string, OrganisationReport> all;
  double fair_share = 0;
  double received = 0;
  for (const auto& [key, kind] : kinds) {
    const BurnKind& it = kind.sum;
    const BurnCounts& counts = it.counts;
    if (counts.calls == 0) {
      continue;
    }
    auto [found, is_new] = all.try_emplace(it.organisation);
    OrganisationReport& organisation = found->second;
    organisation.name = it.organisation;
    organisation.fair_share = it.share;
    organisation.received += static_cast<double>(counts.cost);
    organisation.refused += counts.refused;
    fair_share += is_new ? it.share : 0;
    received += static_cast<double>(counts.cost);
  }
  std::vector<OrganisationReport> reports;
  for (auto& [name, it] : all) {
    it.fair_share = fair_share > 0 ? it.fair_share / fair_share : 0;
    it.received = received > 0 ? it.received / received : 0;
    reports.push_back(std::move(it));
  }
  return reports;
}

std::vector<RefusalReport> MakeRefusals(const std::vector<KindReport>& kinds) {
  std::vector<RefusalReport> all;
  for (const KindReport& kind : kinds) {
    for (std::size_t i = 0; i < kind.counts.reasons.size(); ++i) {
      if (kind.counts.reasons[i] > 0) {
        const auto name = entry::ReasonName(static_cast<wire::Reason::type>(i));
        all.push_back(
            {kind.organisation, kind.kind, name, kind.counts.reasons[i]});
      }
    }
  }
  std::sort(all.begin(), all.end(),
            [](const auto& a, const auto& b) { return a.calls > b.calls; });
  return all;
}

bool IsWorseServer(const ServerReport& a, const ServerReport& b) {
  const std::int64_t problems_a = a.counts.bad + a.counts.lost;
  const std::int64_t problems_b = b.counts.bad + b.counts.lost;
  if (problems_a != problems_b) {
    return problems_a > problems_b;
  }
  return a.first_p95_ms > b.first_p95_ms;
}

std::vector<ServerReport> MakeServers(
    const std::map<std::string, BurnCounts>& servers) {
  std::int64_t calls = 0;
  for (const auto& [agent, counts] : servers) {
    calls += counts.calls;
  }
  std::vector<ServerReport> reports;
  for (const auto& [agent, counts] : servers) {
    ServerReport it;
    it.instance = agent;
    it.counts = counts;
    it.first_p95_ms = QuantileOf(it.counts.first_ms, kHighQuantile);
    it.traffic_share = calls == 0 ? 0
                                  : static_cast<double>(it.counts.calls) /
                                        static_cast<double>(calls);
    it.even_share = 1 / static_cast<double>(servers.size());
    reports.push_back(std::move(it));
  }
  std::sort(reports.begin(), reports.end(), IsWorseServer);
  return reports;
}

}  // namespace

double OrganisationReport::ratio() const {
  return fair_share > 0 ? received / fair_share : 1;
}

bool IsWorseServed(const OrganisationReport& a, const OrganisationReport& b) {
  return std::tuple(a.standing() != "under", a.ratio()) <
         std::tuple(b.standing() != "under", b.ratio());
}

std::string_view OrganisationReport::standing() const {
  if (received < fair_share * kUnderServedRatio) {
    return refused > 0 ? "under" : "asked for less";
  }
  return received > fair_share * kOverServedRatio ? "over" : "even";
}

double QuantileOf(const BurnCells& cells, double ratio) {
  const auto sum = std::accumulate(cells.begin(), cells.end(), std::int64_t{0});
  const double wanted = ratio * static_cast<double>(sum);
  double below = 0;
  for (std::size_t i = 0; i < cells.size() && sum > 0; ++i) {
    const auto in_cell = static_cast<double>(cells[i]);
    if (below + in_cell >= wanted) {
      const double low = i == 0 ? 0 : entry::kBurnBounds[i - 1];
      const double high =
          i < entry::kBurnBounds.size() ? entry::kBurnBounds[i] : low;
      return low + (high - low) * (wanted - below) / in_cell;
    }
    below += in_cell;
  }
  return 0;
}

struct BurnMerge::Impl {
  BurnReport report;      // Fields that are not summed.
  double observed_s = 0;  // Summed over entries.
  MergedKinds kinds;
  std::map<std::string, BurnCounts> servers;
};

BurnMerge::BurnMerge(const BurnWindow& window)
    : impl_(std::make_unique<Impl>()) {
  impl_->report.window = window;
}

BurnMerge::~BurnMerge() = default;

void BurnMerge::Add(const EntryBurn& entry) {
  BurnReport& report = impl_->report;
  ++report.entries;
  const std::int64_t window = report.window.length.count();
  impl_->observed_s += static_cast<double>(std::min(entry.uptime_s, window));
  if (entry.uptime_s < window) {
    report.recently_started.push_back(
        fmt::format("{} (started {} s ago)", entry.instance, entry.uptime_s));
  }
  for (const BurnKind& it : entry.kinds) {
    MergeKind(it, entry.rules_version, impl_->kinds);
  }
  for (const BurnServer& it : entry.servers) {
    impl_->servers[it.agent].Add(it.counts);
  }
}

void BurnMerge::AddMissing(std::string instance) {
  impl_->report.missing.push_back(std::move(instance));
}

BurnReport BurnMerge::MakeReport() const {
  BurnReport report = impl_->report;
  std::sort(report.missing.begin(), report.missing.end());
  std::sort(report.recently_started.begin(), report.recently_started.end());
  const auto listed =
      static_cast<double>(report.entries + report.missing.size());
  const auto window = static_cast<double>(report.window.length.count());
  report.coverage = listed > 0 ? impl_->observed_s / (listed * window) : 0;
  for (const auto& [key, it] : impl_->kinds) {
    report.kinds.push_back(MakeKind(it.sum));
  }
  report.organisations = MakeOrganisations(impl_->kinds);
  report.refusals = MakeRefusals(report.kinds);
  report.servers = MakeServers(impl_->servers);
  return report;
}

}  // namespace peridotgate::operate
