#include "operate/explain.h"

#include <algorithm>
#include <array>
#include <map>
#include <tuple>

#include <boost/json.hpp>

namespace peridotgate::operate {
namespace {

namespace json = boost::json;

// Events that change what a process believes.
constexpr std::array<std::string_view, 10> kBeliefs = {
    "started",          "leaving",
    "view_changed",     "store_lost",
    "store_regained",   "rows_source",
    "order_lease",      "store_history_gone",
    "cache_store_lost", "cache_store_regained"};

// Fields that every line has, which say nothing of the request.
constexpr std::array<std::string_view, 6> kFrame = {
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

// "event field=value ..."
std::string Describe(const json::object& object) {
  std::string text = Text(object, "event");
  for (const auto& [key, value] : object) {
    if (std::find(kFrame.begin(), kFrame.end(), std::string_view(key)) !=
        kFrame.end()) {
      continue;
    }
    text += " " + std::string(key) + "=" + json::serialize(value);
  }
  return text;
}

}  // namespace

void Explanation::Read(std::istream& log) {
  std::map<std::string, std::int64_t> lives;
  std::string text;
  while (std::getline(log, text)) {
    // A collector may have put its own words before the object.
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
    lives[instance] += event == "started" ? 1 : 0;
    const bool belief =
        std::find(kBeliefs.begin(), kBeliefs.end(), event) != kBeliefs.end();
    if (!belief && Text(object, "request") != request_) {
      continue;
    }
    lines_.push_back({instance, lives[instance], Integer(object, "seq"),
                      Integer(object, "unix_ms"), belief, Describe(object)});
  }
}

std::vector<std::string> Explanation::Story() const {
  // The lines of each life of a process that had the request.
  std::map<std::pair<std::string, std::int64_t>, std::vector<Line>> lives;
  for (const Line& it : lines_) {
    lives[{it.instance, it.life}].push_back(it);
  }
  std::vector<std::pair<std::int64_t, std::vector<std::string>>> chapters;
  for (auto& [key, lines] : lives) {
    std::sort(lines.begin(), lines.end(), [](const Line& a, const Line& b) {
      return a.sequence < b.sequence;
    });
    const auto first = std::find_if(lines.begin(), lines.end(),
                                    [](const Line& it) { return !it.belief; });
    if (first == lines.end()) {
      continue;
    }
    std::map<std::string, const Line*> last;  // Belief by event.
    for (auto it = lines.begin(); it != first; ++it) {
      last[it->text.substr(0, it->text.find(' '))] = &*it;
    }
    std::vector<std::string> chapter = {
        key.first + ", at " + std::to_string(first->unix_ms) + " ms:"};
    for (const auto& [event, line] : last) {
      chapter.push_back("  believed since " +
                        std::to_string(first->unix_ms - line->unix_ms) +
                        " ms: " + line->text);
    }
    for (auto it = first; it != lines.end(); ++it) {
      if (!it->belief) {
        chapter.push_back("  +" + std::to_string(it->unix_ms - first->unix_ms) +
                          " ms: " + it->text);
      }
    }
    chapters.emplace_back(first->unix_ms, std::move(chapter));
  }
  std::sort(chapters.begin(), chapters.end(),
            [](const auto& a, const auto& b) { return a.first < b.first; });
  std::vector<std::string> story;
  for (const auto& [at, chapter] : chapters) {
    story.insert(story.end(), chapter.begin(), chapter.end());
  }
  return story;
}

}  // namespace peridotgate::operate
