#include "operate/explain.h"

#include <algorithm>
#include <array>
#include <map>
#include <tuple>

#include <boost/json.hpp>

namespace peridotgate::operate {
namespace {

namespace json = boost::json;

// Events that change a process's state, as opposed to a request's.
constexpr std::array<std::string_view, 10> kStateEvents = {
    "started",          "leaving",
    "view_changed",     "store_lost",
    "store_regained",   "rows_source",
    "order_lease",      "store_history_gone",
    "cache_store_lost", "cache_store_regained"};

// Fields common to all events, which are left out of the timeline.
constexpr std::array<std::string_view, 6> kCommonFields = {
    "event", "instance", "seq", "steady_us", "unix_ms", "request"};

std::int64_t Integer(const json::object& object, std::string_view name) {
  const json::value* found = object.if_contains(name);
  return found != nullptr && found->is_int64() ? found->as_int64() : 0;
}

std::string Text(const json::object& object, std::string_view name) {
  const json::value* found = object.if_contains(name);
  return found != nullptr && found->is_string()
             ? std::string(found->as_string())
             : std::string();
}

// Formats an event as "event field=value ...".
std::string Describe(const json::object& object) {
  std::string text = Text(object, "event");
  for (const auto& [key, value] : object) {
    if (std::find(kCommonFields.begin(), kCommonFields.end(),
                  std::string_view(key)) != kCommonFields.end()) {
      continue;
    }
    text += " " + std::string(key) + "=" + json::serialize(value);
  }
  return text;
}

}  // namespace

void Explanation::Read(std::istream& log) {
  std::map<std::string, std::int64_t> incarnations;
  std::string text;
  while (std::getline(log, text)) {
    // A log collector may prefix the JSON object with its own text.
    const std::size_t begin = text.find("{\"event\":");
    if (begin == std::string::npos) {
      continue;
    }
    boost::system::error_code ec;
    const json::value parsed =
        json::parse(std::string_view(text).substr(begin), ec);
    if (ec || !parsed.is_object()) {
      continue;
    }
    const json::object& object = parsed.as_object();
    const std::string event = Text(object, "event");
    const std::string instance = Text(object, "instance");
    incarnations[instance] += event == "started" ? 1 : 0;
    const bool is_state = std::find(kStateEvents.begin(), kStateEvents.end(),
                                    event) != kStateEvents.end();
    if (!is_state && Text(object, "request") != request_) {
      continue;
    }
    lines_.push_back({instance, incarnations[instance], Integer(object, "seq"),
                      Integer(object, "unix_ms"), is_state, Describe(object)});
  }
}

std::vector<std::string> Explanation::Timeline() const {
  // Events by instance and incarnation.
  std::map<std::pair<std::string, std::int64_t>, std::vector<Line>>
      incarnations;
  for (const Line& it : lines_) {
    incarnations[{it.instance, it.incarnation}].push_back(it);
  }
  std::vector<std::pair<std::int64_t, std::vector<std::string>>> sections;
  for (auto& [key, lines] : incarnations) {
    std::sort(lines.begin(), lines.end(), [](const Line& a, const Line& b) {
      return a.sequence < b.sequence;
    });
    const auto first =
        std::find_if(lines.begin(), lines.end(),
                     [](const Line& it) { return !it.is_state; });
    if (first == lines.end()) {
      continue;
    }
    std::map<std::string, const Line*> last;  // Latest state event by name.
    for (auto it = lines.begin(); it != first; ++it) {
      last[it->text.substr(0, it->text.find(' '))] = &*it;
    }
    std::vector<std::string> section = {
        key.first + ", at " + std::to_string(first->unix_ms) + " ms:"};
    for (const auto& [event, line] : last) {
      section.push_back("  state since " +
                        std::to_string(first->unix_ms - line->unix_ms) +
                        " ms: " + line->text);
    }
    for (auto it = first; it != lines.end(); ++it) {
      if (!it->is_state) {
        section.push_back("  +" + std::to_string(it->unix_ms - first->unix_ms) +
                          " ms: " + it->text);
      }
    }
    sections.emplace_back(first->unix_ms, std::move(section));
  }
  std::sort(sections.begin(), sections.end(),
            [](const auto& a, const auto& b) { return a.first < b.first; });
  std::vector<std::string> timeline;
  for (const auto& [at, section] : sections) {
    timeline.insert(timeline.end(), section.begin(), section.end());
  }
  return timeline;
}

}  // namespace peridotgate::operate
