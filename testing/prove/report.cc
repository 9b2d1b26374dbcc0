#include "prove/report.h"

#include <algorithm>

#include <boost/json.hpp>

namespace peridotgate::prove {
namespace {

namespace json = boost::json;

constexpr std::size_t kMaxDetails = 10;

constexpr std::array<std::string_view, static_cast<std::size_t>(Fault::kCount)>
    kFaultNames = {
        "agent_killed",      "entry_killed",      "engine_killed",
        "engine_paused",     "link_cut",          "platform_down",
        "platform_slow",     "answer_lost",       "agent_drained",
        "entry_drained",     "caller_gone",       "caller_slow",
        "racing_operators",  "herd_of_restarts",  "agent_paused",
        "entry_paused",      "marked_leaving",    "engine_slow",
        "frames_delayed",    "frames_duplicated", "frames_crossed",
        "link_half_open",    "two_at_once",       "same_twice",
        "late_message",      "datagrams_delayed", "datagrams_duplicated",
        "datagrams_crossed", "datagrams_lost"};

}  // namespace

std::string_view Name(Fault fault) {
  return kFaultNames.at(static_cast<std::size_t>(fault));
}

void Report::Expect(Fault fault) {
  expected_.push_back(fault);
}

void Report::Expect(std::string_view check) {
  Find(checks_, check);
}

void Report::AddOutcome(std::string_view outcome, std::int64_t n) {
  Find(outcomes_, outcome).evaluated += static_cast<std::uint64_t>(n);
}

void Report::Check(std::string_view name, bool good, std::string_view detail) {
  CheckCount& it = Find(checks_, name);
  ++it.evaluated;
  if (good) {
    return;
  }
  ++it.failed;
  if (details_.size() < kMaxDetails) {
    details_.push_back(std::string(name) + ": " + std::string(detail));
  }
}

bool Report::all_faults_occurred() const {
  return std::all_of(expected_.begin(), expected_.end(), [&](Fault it) {
    return faults_.at(static_cast<std::size_t>(it)) > 0;
  });
}

bool Report::passed() const {
  const bool held = std::all_of(
      checks_.begin(), checks_.end(),
      [](const CheckCount& it) { return it.evaluated > 0 && it.failed == 0; });
  return all_faults_occurred() && held && requests_ > 0;
}

std::string Report::ToJson(std::uint64_t seed) const {
  json::object faults;
  for (std::size_t i = 0; i < faults_.size(); ++i) {
    const auto fault = static_cast<Fault>(i);
    const bool expected =
        std::find(expected_.begin(), expected_.end(), fault) != expected_.end();
    if (expected || faults_.at(i) > 0) {
      faults[Name(fault)] = faults_.at(i);
    }
  }
  json::object checks;
  std::uint64_t failed = 0;
  for (const CheckCount& it : checks_) {
    checks[it.name] = it.evaluated;
    failed += it.failed;
  }
  json::object outcomes;
  for (const CheckCount& it : outcomes_) {
    outcomes[it.name] = it.evaluated;
  }
  json::object line{{"property", property_}, {"requests", requests_},
                    {"faults", faults},      {"checks", checks},
                    {"violations", failed},  {"outcomes", outcomes},
                    {"passed", passed()},    {"seed", seed}};
  if (!details_.empty()) {
    line["details"] = json::value_from(details_);
  }
  return json::serialize(line);
}

CheckCount& Report::Find(std::vector<CheckCount>& counts,
                         std::string_view name) {
  auto it = std::find_if(counts.begin(), counts.end(),
                         [&](const CheckCount& c) { return c.name == name; });
  if (it == counts.end()) {
    counts.push_back({std::string(name), 0, 0});
    return counts.back();
  }
  return *it;
}

}  // namespace peridotgate::prove
