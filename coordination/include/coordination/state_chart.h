// State machines written as text, which are validated when parsed and then
// interpreted.
//
// One transition per line:
//
//     initial queued
//     queued   -admit->  claiming
//     claiming -claimed-> running
//     running  -end->    ended
//     final ended
//     never running -> queued
//     anytime stop
//
// `never A -> B` forbids every path from A to B. `anytime E` requires that
// every state with outgoing transitions has one for event E. A '#' starts a
// comment.
#ifndef COORDINATION_STATE_CHART_H_
#define COORDINATION_STATE_CHART_H_

#include <cstddef>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "coordination/result.h"

namespace peridotgate::coordination {

/** Errors in the text of a chart, one per line. */
struct ChartFaults {
  std::vector<std::string> lines;
};

/**
 * A validated state machine. Parsing fails on unreachable states, states
 * without a path to a final state, more than one transition for an event in a
 * state, missing transitions for `anytime` events, and forbidden paths.
 *
 *     auto chart = StateChart::Parse(charts::k_claim);
 *     ChartCursor claim(chart.value());
 *     claim.Step("claimed");
 */
class StateChart {
 public:
  static Result<StateChart, ChartFaults> Parse(std::string_view text);

  /** Parses a chart embedded in the binary; aborts if it is invalid. */
  static StateChart Embedded(std::string_view text);

  const std::string& initial() const { return initial_; }
  bool IsFinal(std::string_view state) const;
  std::vector<std::string> States() const;
  std::vector<std::string> Events(std::string_view state) const;

  /** The state that `event` leads to from `state`, if it has a transition. */
  std::optional<std::string_view> Next(std::string_view state,
                                       std::string_view event) const;

 private:
  struct Transition {
    std::string from;
    std::string event;
    std::string to;
  };
  struct Forbidden {
    std::string from;
    std::string to;
  };

  void ParseLine(std::string_view line, int number, ChartFaults& faults);
  void Check(ChartFaults& faults) const;
  void CheckAnytime(ChartFaults& faults) const;
  bool Reaches(std::string_view from, std::string_view to) const;

  std::string initial_;
  std::vector<std::string> final_states_;
  std::vector<Transition> transitions_;
  std::vector<Forbidden> forbidden_;
  std::vector<std::string> anytime_events_;
};

/** Current state of one instance of a chart. The chart must outlive it. */
class ChartCursor {
 public:
  explicit ChartCursor(const StateChart& chart);

  /** Takes the transition for `event`; aborts if the chart has none. */
  void Step(std::string_view event);

  /** Takes the transition for `event`; returns false if there is none. */
  bool TryStep(std::string_view event);

  bool Is(std::string_view state) const { return state_ == state; }
  std::string_view state() const { return state_; }
  bool ended() const { return chart_->IsFinal(state_); }

 private:
  const StateChart* chart_;
  std::string_view state_;
};

}  // namespace peridotgate::coordination

#endif  // COORDINATION_STATE_CHART_H_
