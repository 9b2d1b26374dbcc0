// State charts of requests and claims, embedded in the binary.
#ifndef COORDINATION_REQUEST_CHARTS_H_
#define COORDINATION_REQUEST_CHARTS_H_

#include "coordination/state_chart.h"

namespace peridotgate::coordination {

/** The claim of one attempt on an idempotency key. */
const StateChart& ClaimChart();

/** One request in an agent. */
const StateChart& RequestChart();

}  // namespace peridotgate::coordination

#endif  // COORDINATION_REQUEST_CHARTS_H_
