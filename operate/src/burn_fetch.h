// Fetches the counts of all entries and builds the burn report.
#ifndef OPERATE_BURN_FETCH_H_
#define OPERATE_BURN_FETCH_H_

#include "coordination/result.h"
#include "operate/burn_report.h"
#include "platform/table.h"

namespace peridotgate::operate {

/** Builds the report over `window`; server names come from the list. */
coordination::Result<BurnReport, platform::PlatformError> FetchReport(
    const runtime::Endpoint& list,
    const BurnWindow& window);

}  // namespace peridotgate::operate

#endif  // OPERATE_BURN_FETCH_H_
