// State charts of a whole process, embedded in the binary.
#ifndef COORDINATION_PROCESS_CHARTS_H_
#define COORDINATION_PROCESS_CHARTS_H_

#include "coordination/state_chart.h"

namespace peridotgate::coordination {

/** How a process catches up with the newest configuration. */
const StateChart& FollowerChart();

/** The lifecycle of an agent, from startup to exit. */
const StateChart& AgentLifecycleChart();

}  // namespace peridotgate::coordination

#endif  // COORDINATION_PROCESS_CHARTS_H_
