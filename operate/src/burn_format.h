// Formats the figures of the burn report for people.
#ifndef OPERATE_BURN_FORMAT_H_
#define OPERATE_BURN_FORMAT_H_

#include <string>
#include <vector>

#include "operate/burn_report.h"

namespace peridotgate::operate {

/** "12.5 %". */
std::string Percent(double ratio);

/** An error budget as a percentage; negative if overspent. */
std::string Budget(double left);

/** A burn rate in at most six characters. */
std::string Rate(double burn);

/** "120 ms". */
std::string Millis(double ms);

/** "120 ms / 500 ms"; "-" if not observed, "none" without a target. */
std::string VersusTarget(double ms, std::int64_t target_ms);

/** The fraction of prompt tokens that were cached; "-" without a prompt. */
std::string HitRate(const entry::BurnCounts& counts);

/** The report's coverage, missing entries and current problems. */
std::vector<std::string> Notes(const BurnReport& report);

}  // namespace peridotgate::operate

#endif  // OPERATE_BURN_FORMAT_H_
