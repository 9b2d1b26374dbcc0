// The error budget burn report, aggregated from the counts of all entries.
#ifndef OPERATE_BURN_REPORT_H_
#define OPERATE_BURN_REPORT_H_

#include <array>
#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <boost/json.hpp>

#include "entry/burn.h"

namespace peridotgate::operate {

using entry::BurnWindow;
using entry::kBurnWindows;

/** Total and bad calls over a period. */
struct BurnRatio {
  std::int64_t calls = 0;
  std::int64_t bad = 0;
};

/**
 * One bar of a plot: a period that began `age_s` ago, rounded to the period's
 * length.
 */
struct BurnBar {
  std::int64_t age_s = 0;
  BurnRatio ratio;
};

/** One entry's counts for a kind of work. */
struct BurnKind {
  std::string organisation;
  std::string kind;
  double share = 0;
  double objective_ratio = 0;
  std::int64_t first_token_ms = 0;
  std::int64_t token_gap_ms = 0;
  std::array<BurnRatio, kBurnWindows.size()> windows;
  entry::BurnCounts counts;  // Over the requested window.
  std::vector<BurnBar> bars;
};

/** One entry's counts for a backend server. */
struct BurnServer {
  std::string agent;
  entry::BurnCounts counts;
};

/** All counts of one entry. */
struct EntryBurn {
  std::string instance;
  std::int64_t uptime_s = 0;
  std::int64_t rules_version = 0;
  std::vector<BurnKind> kinds;
  std::vector<BurnServer> servers;
};

/** Parses an entry's /burn/WINDOW response; nothing if it is malformed. */
std::optional<EntryBurn> ParseBurn(const std::string& body,
                                   const BurnWindow& window);

/** Fires when the burn rate exceeds `rate` over both windows. */
struct BurnAlert {
  std::string_view name;
  std::size_t short_window;  // Index into kBurnWindows.
  std::size_t long_window;
  double rate;
};

inline constexpr std::array<BurnAlert, 2> kBurnAlerts = {{
    {"page", 0, 2, 14.4},
    {"ticket", 1, 3, 6},
}};

/** A kind of work, summed over all entries. */
struct KindReport {
  std::string organisation;
  std::string kind;
  double objective_ratio = 0;
  std::int64_t first_token_ms = 0;
  std::int64_t token_gap_ms = 0;
  entry::BurnCounts counts;
  std::array<double, kBurnWindows.size()> burn{};
  double budget_left = 1;  // Fraction; negative if overspent.
  std::string_view alert;  // Empty if no alert fires.
  double first_p95_ms = 0;
  double gap_p95_ms = 0;
  std::vector<BurnBar> bars;  // Oldest first.
};

/** One organisation's share of the service. */
struct OrganisationReport {
  std::string name;
  double fair_share = 0;  // Among organisations active in the window.
  double received = 0;    // Fraction of all service in the window.
  std::int64_t refused = 0;

  /** Received share over fair share; 1 if the fair share is 0. */
  double ratio() const;

  /** "under" only if its work was also refused in the window. */
  std::string_view standing() const;
};

/**
 * Orders organisations that are refused work below their fair share first, then
 * by ascending ratio.
 */
bool IsWorseServed(const OrganisationReport& a, const OrganisationReport& b);

/** Row limit of tables for people; JSON output has all rows. */
inline constexpr std::size_t kMaxRows = 20;

/** A backend server, summed over all entries. */
struct ServerReport {
  std::string instance;
  entry::BurnCounts counts;
  double first_p95_ms = 0;
  double traffic_share = 0;  // Fraction of all calls.
  double even_share = 0;     // Fraction under an even spread.
};

/** How many calls were refused or failed for a reason. */
struct RefusalReport {
  std::string organisation;
  std::string kind;
  std::string_view reason;
  std::int64_t calls = 0;
};

/** The whole report. */
struct BurnReport {
  BurnWindow window = entry::kDefaultBurnWindow;
  std::size_t entries = 0;           // Number of entries that answered.
  std::vector<std::string> missing;  // Entries that did not answer.
  std::vector<std::string> recently_started;  // Within the window.
  double coverage = 0;  // Observed fraction of entries' time in the window.
  std::vector<KindReport> kinds;
  std::vector<OrganisationReport> organisations;
  std::vector<RefusalReport> refusals;
  std::vector<ServerReport> servers;  // Worst first.
};

/**
 * Aggregates entries one at a time, so that only the sums are in memory.
 *
 *     BurnMerge merge(window);
 *     merge.Add(burn);  // For each entry that answered.
 *     const BurnReport report = merge.MakeReport();
 */
class BurnMerge {
 public:
  explicit BurnMerge(const BurnWindow& window);
  ~BurnMerge();

  void Add(const EntryBurn& entry);
  /** Records an entry that did not answer. */
  void AddMissing(std::string instance);
  /** The report over everything added so far. */
  BurnReport MakeReport() const;

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

/** The `ratio` quantile of a histogram, such as 0.95 for the p95. */
double QuantileOf(const entry::BurnCells& cells, double ratio);

/** Formats the report for a terminal of 100 columns. */
std::vector<std::string> ToText(const BurnReport& report);

/** Formats the report for programs. */
boost::json::object ToJson(const BurnReport& report);

/** Formats the report as one self-contained HTML page. */
std::string ToHtml(const BurnReport& report, std::string_view made_at);

}  // namespace peridotgate::operate

#endif  // OPERATE_BURN_REPORT_H_
