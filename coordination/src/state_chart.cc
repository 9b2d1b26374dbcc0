#include "coordination/state_chart.h"

#include <algorithm>
#include <cstdio>
#include <set>
#include <sstream>

#include "coordination/check.h"

namespace peridotgate::coordination {
namespace {

std::vector<std::string> SplitWords(std::string_view line) {
  std::istringstream in{std::string(line.substr(0, line.find('#')))};
  std::vector<std::string> words;
  std::string word;
  while (in >> word) {
    words.push_back(word);
  }
  return words;
}

// The event of an arrow "-event->", or empty if `word` is not an arrow.
std::string ParseEvent(const std::string& word) {
  constexpr std::size_t kMarkerLength = 3;
  if (word.size() <= kMarkerLength || word.front() != '-' ||
      !word.ends_with("->")) {
    return "";
  }
  return word.substr(1, word.size() - kMarkerLength);
}

}  // namespace

Result<StateChart, ChartFaults> StateChart::Parse(std::string_view text) {
  StateChart chart;
  ChartFaults faults;
  int number = 0;
  while (!text.empty()) {
    const std::size_t end = text.find('\n');
    chart.ParseLine(text.substr(0, end), ++number, faults);
    text = end == std::string_view::npos ? "" : text.substr(end + 1);
  }
  chart.Check(faults);
  if (!faults.lines.empty()) {
    return faults;
  }
  return chart;
}

StateChart StateChart::Embedded(std::string_view text) {
  auto chart = Parse(text);
  if (!chart) {
    for (const std::string& it : chart.error().lines) {
      std::fprintf(stderr, "state chart: %s\n", it.c_str());
    }
  }
  PG_CHECK(chart.has_value());
  return std::move(chart.value());
}

void StateChart::ParseLine(std::string_view line,
                           int number,
                           ChartFaults& faults) {
  const std::vector<std::string> words = SplitWords(line);
  if (words.empty()) {
    return;
  }
  if (words[0] == "initial" && words.size() == 2) {
    initial_ = words[1];
  } else if (words[0] == "final" && words.size() == 2) {
    final_states_.push_back(words[1]);
  } else if (words[0] == "anytime" && words.size() == 2) {
    anytime_events_.push_back(words[1]);
  } else if (words[0] == "never" && words.size() == 4 && words[2] == "->") {
    forbidden_.push_back({words[1], words[3]});
  } else if (words.size() == 3 && !ParseEvent(words[1]).empty()) {
    transitions_.push_back({words[0], ParseEvent(words[1]), words[2]});
  } else {
    faults.lines.push_back("line " + std::to_string(number) +
                           ": expected a transition or a declaration");
  }
}

void StateChart::Check(ChartFaults& faults) const {
  auto add_fault = [&](const std::string& text) {
    faults.lines.push_back(text);
  };
  if (initial_.empty() || final_states_.empty()) {
    add_fault("a chart needs an initial and a final state");
    return;
  }
  for (const std::string& state : States()) {
    if (!Reaches(initial_, state)) {
      add_fault("unreachable state " + state);
    }
    const bool reaches_final =
        std::any_of(final_states_.begin(), final_states_.end(),
                    [&](const std::string& it) { return Reaches(state, it); });
    if (!reaches_final) {
      add_fault("no path from " + state + " to a final state");
    }
  }
  std::set<std::string> visited;
  for (const Transition& it : transitions_) {
    if (!visited.insert(it.from + " " + it.event).second) {
      add_fault("two transitions for " + it.event + " in " + it.from);
    }
  }
  for (const Forbidden& it : forbidden_) {
    if (Reaches(it.from, it.to)) {
      add_fault("forbidden path from " + it.from + " to " + it.to);
    }
  }
  CheckAnytime(faults);
}

void StateChart::CheckAnytime(ChartFaults& faults) const {
  for (const std::string& state : States()) {
    for (const std::string& event : anytime_events_) {
      if (!Events(state).empty() && !Next(state, event)) {
        std::string& line = faults.lines.emplace_back("no transition for ");
        line.append(event).append(" in ").append(state);
      }
    }
  }
}

bool StateChart::Reaches(std::string_view from, std::string_view to) const {
  std::set<std::string_view> visited{from};
  std::vector<std::string_view> pending{from};
  while (!pending.empty()) {
    const std::string_view state = pending.back();
    pending.pop_back();
    if (state == to) {
      return true;
    }
    for (const Transition& it : transitions_) {
      if (it.from == state && visited.insert(it.to).second) {
        pending.push_back(it.to);
      }
    }
  }
  return false;
}

bool StateChart::IsFinal(std::string_view state) const {
  return std::find(final_states_.begin(), final_states_.end(), state) !=
         final_states_.end();
}

std::vector<std::string> StateChart::States() const {
  std::set<std::string> states(final_states_.begin(), final_states_.end());
  states.insert(initial_);
  for (const Transition& it : transitions_) {
    states.insert(it.from);
    states.insert(it.to);
  }
  return {states.begin(), states.end()};
}

std::vector<std::string> StateChart::Events(std::string_view state) const {
  std::vector<std::string> events;
  for (const Transition& it : transitions_) {
    if (it.from == state) {
      events.push_back(it.event);
    }
  }
  return events;
}

std::optional<std::string_view> StateChart::Next(std::string_view state,
                                                 std::string_view event) const {
  for (const Transition& it : transitions_) {
    if (it.from == state && it.event == event) {
      return it.to;
    }
  }
  return std::nullopt;
}

ChartCursor::ChartCursor(const StateChart& chart)
    : chart_(&chart), state_(chart.initial()) {}

void ChartCursor::Step(std::string_view event) {
  PG_CHECK(TryStep(event));
}

bool ChartCursor::TryStep(std::string_view event) {
  auto next = chart_->Next(state_, event);
  if (!next) {
    return false;
  }
  state_ = *next;
  return true;
}

}  // namespace peridotgate::coordination
