// All series that an entry counts for the burn report, within fixed bounds.
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

/** What is counted for one kind of work, under its newest rules. */
struct KindSeries {
  double share = 0;
  double objective_ratio = 0;
  std::int64_t first_token_ms = 0;
  std::int64_t token_gap_ms = 0;
  std::int64_t open_calls = 0;  // That will be counted here.
  BurnSeries series;
  runtime::Counter* good = nullptr;
  runtime::Counter* bad = nullptr;
  runtime::Gauge* budget_ppm = nullptr;
};

/**
 * Series by kind of work and by backend server. Beyond kMostBurnKinds and
 * kMostBurnServers the rest is counted together, as kOthers: kinds that come
 * when there is no room, and servers without trouble when one with trouble
 * comes. A series that is idle for the longest window gives up its room.
 */
class BurnTable {
 public:
  explicit BurnTable(runtime::Metrics& metrics);

  /** Where calls of a kind are counted from now on. */
  KindSeries& Find(std::chrono::microseconds age,
                   const wire::OrganisationRules& organisation,
                   const wire::KindRules& rules);

  /** Counts for the server behind `agent`. */
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
