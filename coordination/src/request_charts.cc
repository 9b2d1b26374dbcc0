#include "coordination/request_charts.h"

namespace peridotgate::charts {
extern const std::string_view k_claim;
extern const std::string_view k_request;
}  // namespace peridotgate::charts

namespace peridotgate::coordination {

const StateChart& ClaimChart() {
  static const StateChart chart = StateChart::Embedded(charts::k_claim);
  return chart;
}

const StateChart& RequestChart() {
  static const StateChart chart = StateChart::Embedded(charts::k_request);
  return chart;
}

}  // namespace peridotgate::coordination
