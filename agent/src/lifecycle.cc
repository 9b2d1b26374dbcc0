#include "lifecycle.h"

#include "coordination/process_charts.h"
#include "runtime/log.h"

namespace peridotgate::agent {
namespace {

// Name of a chart state in the log.
std::string_view LogName(std::string_view state) {
  if (state == "listed" || state == "draining") {
    return "leaving";
  }
  return state;
}

}  // namespace

Lifecycle::Lifecycle() : state_(coordination::AgentLifecycleChart()) {}

void Lifecycle::Step(std::string_view event, std::string_view reason) {
  const std::string_view before = state_.state();
  state_.Step(event);
  if (state_.state() != before) {
    runtime::LogStateChange("agent", LogName(state_.state()), reason);
  }
}

}  // namespace peridotgate::agent
