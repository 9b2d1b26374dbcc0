// The report on service-level burn for a terminal and for programs.
#include <algorithm>
#include <tuple>

#include <spdlog/fmt/fmt.h>

#include "burn_format.h"
#include "operate/burn_report.h"

namespace peridotgate::operate {
namespace {

namespace json = boost::json;
using Lines = std::vector<std::string>;

constexpr std::size_t kMaxServerRows = 5;

// Returns all rows, or the worst `kMaxRows` by `is_worse` if there are more.
template <class T, class F>
std::vector<T> TopRows(std::vector<T> all, F is_worse) {
  if (all.size() > kMaxRows) {
    std::stable_sort(all.begin(), all.end(), is_worse);
    all.resize(kMaxRows);
  }
  return all;
}

void AddOmitted(std::size_t all, std::string_view what, Lines& lines) {
  if (all > kMaxRows) {
    lines.push_back(fmt::format("and {} more {}, less urgent: see --json",
                                all - kMaxRows, what));
  }
}

// Orders by alert, then by the higher burn rate of the shortest and longest
// window, then by the number of bad calls.
bool IsMoreUrgent(const KindReport& a, const KindReport& b) {
  const double burn_a = std::max(a.burn.front(), a.burn.back());
  const double burn_b = std::max(b.burn.front(), b.burn.back());
  return std::tuple(a.alert.empty(), -burn_a, -a.counts.bad) <
         std::tuple(b.alert.empty(), -burn_b, -b.counts.bad);
}

std::vector<KindReport> MostUrgentKinds(const BurnReport& report) {
  return TopRows(report.kinds, IsMoreUrgent);
}

// Returns the problems to act on, most urgent first, or one line that says that
// there are none.
Lines Problems(const BurnReport& report) {
  Lines lines;
  for (const BurnAlert& alert : kBurnAlerts) {
    for (const KindReport& it : report.kinds) {
      if (it.alert == alert.name) {
        lines.push_back(fmt::format("{}: {}/{} burns its budget", alert.name,
                                    it.organisation, it.kind));
      }
    }
  }
  for (const OrganisationReport& it : report.organisations) {
    if (it.standing() == "under") {
      lines.push_back(it.name + " is refused work below its fair share");
    }
  }
  if (lines.size() > kMaxRows) {
    const std::size_t all = lines.size();
    lines.resize(kMaxRows);
    AddOmitted(all, "concerns", lines);
  }
  if (lines.empty()) {
    lines.emplace_back(
        "no budget burns too fast and nobody is under its share");
  }
  return lines;
}

void AddBurn(const BurnReport& report, Lines& lines) {
  lines.emplace_back("");
  lines.push_back(
      fmt::format("{:14} {:16} {:>9} {:>7} {:>6} {:>7} {:>6} {:>6} "
                  "{:>6} {:>6} {}",
                  "organisation", "kind", "objective", "calls", "bad", "budget",
                  "5m", "30m", "1h", "6h", "alert"));
  for (const KindReport& it : MostUrgentKinds(report)) {
    lines.push_back(fmt::format(
        "{:14.14} {:16.16} {:>9} {:>7} {:>6} {:>7} {:>6} {:>6} {:>6} {:>6} {}",
        it.organisation, it.kind, Percent(it.objective_ratio), it.counts.calls,
        it.counts.bad, Budget(it.budget_left), Rate(it.burn[0]),
        Rate(it.burn[1]), Rate(it.burn[2]), Rate(it.burn[3]), it.alert));
  }
  AddOmitted(report.kinds.size(), "kinds of work", lines);
}

void AddTimes(const BurnReport& report, Lines& lines) {
  lines.emplace_back("");
  lines.push_back(fmt::format("{:14} {:16} {:>20} {:>20} {:>9} {:>13}",
                              "organisation", "kind", "first p95 / target",
                              "gap p95 / target", "hit rate", "recomputed"));
  for (const KindReport& it : MostUrgentKinds(report)) {
    lines.push_back(fmt::format(
        "{:14.14} {:16.16} {:>20} {:>20} {:>9} {:>13}", it.organisation,
        it.kind, VersusTarget(it.first_p95_ms, it.first_token_ms),
        VersusTarget(it.gap_p95_ms, it.token_gap_ms), HitRate(it.counts),
        fmt::format("{} tok", it.counts.prefill_tokens)));
  }
}

void AddRefusals(const BurnReport& report, Lines& lines) {
  lines.emplace_back("");
  if (report.refusals.empty()) {
    lines.emplace_back("nothing was refused and nothing failed");
    return;
  }
  lines.emplace_back("refused or failed, by reason");
  const auto is_more = [](const RefusalReport& a, const RefusalReport& b) {
    return a.calls > b.calls;
  };
  for (const RefusalReport& it : TopRows(report.refusals, is_more)) {
    lines.push_back(fmt::format("{:14.14} {:16.16} {:20.20} {:>8}",
                                it.organisation, it.kind, it.reason, it.calls));
  }
  AddOmitted(report.refusals.size(), "reasons", lines);
}

void AddShares(const BurnReport& report, Lines& lines) {
  lines.emplace_back("");
  lines.emplace_back(
      "share of the service received, and owed among those who "
      "sent work");
  for (const OrganisationReport& it :
       TopRows(report.organisations, IsWorseServed)) {
    lines.push_back(fmt::format("{:14.14} received {:>7}  owed {:>7}  {}",
                                it.name, Percent(it.received),
                                Percent(it.fair_share), it.standing()));
  }
  AddOmitted(report.organisations.size(), "organisations", lines);
}

void AddServers(const BurnReport& report, Lines& lines) {
  lines.emplace_back("");
  lines.emplace_back(
      "backend servers, worst first (lost: attempts there, tried elsewhere; "
      "sent: part of calls)");
  for (std::size_t i = 0; i < report.servers.size() && i < kMaxServerRows;
       ++i) {
    const ServerReport& it = report.servers[i];
    lines.push_back(fmt::format(
        "{:18.18} bad {:>5} of {:>6}  lost {:>5}  first p95 {:>8}  sent {:>7}, "
        "even {:>7}",
        it.instance, it.counts.bad, it.counts.calls, it.counts.lost,
        Millis(it.first_p95_ms), Percent(it.traffic_share),
        Percent(it.even_share)));
  }
}

json::object KindToJson(const KindReport& it) {
  json::object burn;
  for (std::size_t i = 0; i < kBurnWindows.size(); ++i) {
    burn[kBurnWindows[i].name] = it.burn[i];
  }
  return {{"organisation", it.organisation},
          {"kind", it.kind},
          {"objective_ratio", it.objective_ratio},
          {"calls", it.counts.calls},
          {"bad", it.counts.bad},
          {"late_first", it.counts.late_first},
          {"late_gap", it.counts.late_gap},
          {"refused", it.counts.refused},
          {"failed", it.counts.failed},
          {"budget_left", it.budget_left},
          {"burn", std::move(burn)},
          {"alert", it.alert},
          {"first_p95_ms", it.first_p95_ms},
          {"first_target_ms", it.first_token_ms},
          {"gap_p95_ms", it.gap_p95_ms},
          {"gap_target_ms", it.token_gap_ms},
          {"cached_tokens", it.counts.cached_tokens},
          {"recomputed_tokens", it.counts.prefill_tokens}};
}

}  // namespace

std::string Percent(double ratio) {
  constexpr double kPerOne = 100;
  return fmt::format("{:.1f} %", ratio * kPerOne);
}

std::string Budget(double left) {
  constexpr double kPerOne = 100;
  return left > -1 ? Percent(left) : fmt::format("{:.0f} %", left * kPerOne);
}

std::string Rate(double burn) {
  constexpr double kLarge = 1000;
  return burn < kLarge ? fmt::format("{:.1f}", burn)
                       : fmt::format("{:.0f}", burn);
}

std::string Millis(double ms) {
  return fmt::format("{:.0f} ms", ms);
}

std::string VersusTarget(double ms, std::int64_t target_ms) {
  const std::string target =
      target_ms > 0 ? fmt::format("{} ms", target_ms) : "none";
  const std::string seen = ms > 0 ? Millis(ms) : "-";
  return fmt::format("{} / {}", seen, target);
}

std::string HitRate(const entry::BurnCounts& counts) {
  const auto cached = static_cast<double>(counts.cached_tokens);
  const auto prompt = cached + static_cast<double>(counts.prefill_tokens);
  return prompt > 0 ? Percent(cached / prompt) : "-";
}

std::vector<std::string> Notes(const BurnReport& report) {
  Lines lines;
  lines.push_back(fmt::format(
      "Service-level burn over {}: {} of {} entries answered, {} of the "
      "window "
      "was seen",
      report.window.name, report.entries,
      report.entries + report.missing.size(), Percent(report.coverage)));
  for (const std::string& it : report.missing) {
    lines.push_back(it + " did not answer: its counts are missing here");
  }
  for (const std::string& it : report.recently_started) {
    lines.push_back(it + ": what it counted before is lost");
  }
  for (const std::string& it : Problems(report)) {
    lines.push_back(it);
  }
  return lines;
}

std::vector<std::string> ToText(const BurnReport& report) {
  Lines lines = Notes(report);
  AddBurn(report, lines);
  AddTimes(report, lines);
  AddRefusals(report, lines);
  AddShares(report, lines);
  AddServers(report, lines);
  return lines;
}

json::object ToJson(const BurnReport& report) {
  json::array kinds;
  for (const KindReport& it : report.kinds) {
    kinds.emplace_back(KindToJson(it));
  }
  json::array organisations;
  for (const OrganisationReport& it : report.organisations) {
    organisations.push_back({{"name", it.name},
                             {"owed", it.fair_share},
                             {"received", it.received},
                             {"standing", it.standing()}});
  }
  json::array refusals;
  for (const RefusalReport& it : report.refusals) {
    refusals.push_back({{"organisation", it.organisation},
                        {"kind", it.kind},
                        {"reason", it.reason},
                        {"calls", it.calls}});
  }
  json::array servers;
  for (const ServerReport& it : report.servers) {
    servers.push_back({{"instance", it.instance},
                       {"calls", it.counts.calls},
                       {"bad", it.counts.bad},
                       {"lost", it.counts.lost},
                       {"first_p95_ms", it.first_p95_ms},
                       {"part", it.traffic_share},
                       {"even_part", it.even_share}});
  }
  json::object all;
  all["window"] = report.window.name;
  all["entries"] = report.entries;
  all["coverage"] = report.coverage;
  all["missing"] = json::value_from(report.missing);
  all["young"] = json::value_from(report.recently_started);
  all["kinds"] = std::move(kinds);
  all["organisations"] = std::move(organisations);
  all["refusals"] = std::move(refusals);
  all["servers"] = std::move(servers);
  return all;
}

}  // namespace peridotgate::operate
