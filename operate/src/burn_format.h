// How figures of the report are written, for people.
#ifndef OPERATE_BURN_FORMAT_H_
#define OPERATE_BURN_FORMAT_H_

#include <string>
#include <vector>

#include "operate/burn_report.h"

namespace peridotgate::operate {

/** "12.5 %". */
std::string Percent(double ratio);

/** A budget as a percentage, negative when overdrawn. */
std::string Budget(double left);

/** A burn rate in at most six characters. */
std::string Rate(double burn);

/** "120 ms". */
std::string Millis(double ms);

/** "120 ms / 500 ms"; "-" without an observation, "none" without a target. */
std::string VersusTarget(double ms, std::int64_t target_ms);

/** The part of prompt tokens that was cached; "-" without a prompt. */
std::string HitRate(const entry::BurnCounts& counts);

/** What the report rests on and what it lacks. */
std::vector<std::string> Notes(const BurnReport& report);

}  // namespace peridotgate::operate

#endif  // OPERATE_BURN_FORMAT_H_
