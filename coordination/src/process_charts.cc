#include "coordination/process_charts.h"

namespace peridotgate::charts {
extern const std::string_view k_agent_lifecycle;
extern const std::string_view k_follower;
}  // namespace peridotgate::charts

namespace peridotgate::coordination {

const StateChart& FollowerChart() {
  static const StateChart chart = StateChart::Embedded(charts::k_follower);
  return chart;
}

const StateChart& AgentLifecycleChart() {
  static const StateChart chart =
      StateChart::Embedded(charts::k_agent_lifecycle);
  return chart;
}

}  // namespace peridotgate::coordination
