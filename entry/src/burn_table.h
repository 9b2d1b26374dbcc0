// All series for the burn report, limited in number.
#ifndef ENTRY_BURN_TABLE_H_
#define ENTRY_BURN_TABLE_H_

#include <map>
#include <string>
#include <string_view>

#include <boost/json.hpp>

#include "burn_series.h"

namespace peridotgate::entry {

/** An organisation and one of its kinds of work. */
struct BurnKey {
  std::string organisation;
  std::string kind;

  bool operator<(const BurnKey& other) const;
};

/** The counts of one kind of work, with its latest rules. */
struct KindSeries {
  double share = 0;
  double objective_ratio = 0;
  std::int64_t first_token_ms = 0;
  std::int64_t token_gap_ms = 0;
  std::int64_t open_calls = 0;  // Will be counted in `series`.
  BurnSeries series;
  runtime::Counter* good = nullptr;
  runtime::Counter* bad = nullptr;
  runtime::Gauge* budget_ppm = nullptr;
};

/**
 * Series by kind of work and by backend server, at most kMostBurnKinds and
 * kMostBurnServers. Beyond these limits calls are counted in the series named
 * kOtherSeries: those of new kinds when the table is full, and those of a
 * server without errors that is evicted for a server with errors. A series that
 * is idle for the longest window is evicted first.
 */
class BurnTable {
 public:
  explicit BurnTable(runtime::Metrics& metrics);

  /** The series for new calls of a kind, created on demand. */
  KindSeries& Find(std::chrono::microseconds age,
                   const wire::OrganisationRules& organisation,
                   const wire::KindRules& rules);

  /** Adds `counts` to the server behind `agent`. */
  void AddServer(std::chrono::microseconds age,
                 const std::string& agent,
                 const BurnCounts& counts);

  boost::json::array KindsToJson(std::chrono::microseconds age,
                                 const BurnWindow& window) const;
  boost::json::array ServersToJson(std::chrono::microseconds age,
                                   const BurnWindow& window) const;

 private:
  BurnKey KeyFor(std::chrono::microseconds age, BurnKey wanted);
  KindSeries MakeKind(const BurnKey& key);
  bool MakeRoom(std::chrono::microseconds age, bool has_errors);

  runtime::Metrics& metrics_;
  std::map<BurnKey, KindSeries> kinds_;
  std::map<std::string, BurnSeries, std::less<>> servers_;
};

}  // namespace peridotgate::entry

#endif  // ENTRY_BURN_TABLE_H_
