// Lifecycle state of an agent.
#ifndef AGENT_LIFECYCLE_H_
#define AGENT_LIFECYCLE_H_

#include <string_view>

#include "coordination/state_chart.h"

namespace peridotgate::agent {

/** Steps the agent's lifecycle chart and logs changes of the visible state. */
class Lifecycle {
 public:
  Lifecycle();

  /** Applies an event of the chart; a change is logged with `reason`. */
  void Step(std::string_view event, std::string_view reason);

  /** Whether the agent accepts new work. */
  bool takes_work() const { return state_.Is("serving"); }

 private:
  coordination::ChartCursor state_;
};

}  // namespace peridotgate::agent

#endif  // AGENT_LIFECYCLE_H_
