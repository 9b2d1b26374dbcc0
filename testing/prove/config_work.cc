#include "prove/config_work.h"

#include <charconv>

#include <spdlog/fmt/fmt.h>

#include "prove/rules_generator.h"

namespace peridotgate::prove {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kPoll{50};
constexpr std::chrono::seconds kPropagationBound{9};
constexpr std::string_view kVersionMetric = "\nperidotgate_rules_version ";
constexpr int kExitAccepted = 0;
constexpr int kExitConflict = 3;
constexpr int kExitNotEverywhere = 6;
constexpr std::int64_t kBaseWaitMs = 3000;

}  // namespace

asio::awaitable<ApplyOutcome> ConfigWorkload::Apply(std::int64_t base,
                                                    std::string author) {
  const FleetOptions& options = run_.fleet().options();
  const std::uint64_t number = ++applies_;
  const RulesOverrides content{kBaseWaitMs + static_cast<std::int64_t>(number),
                               weights_version_};
  const std::string rules = co_await GenerateRules(run_, content);
  Child apply(
      {options.build + "/operate/peridotgate", "apply", "--rules", rules,
       "--table", runtime::ToString(run_.fleet().platform()), "--base",
       std::to_string(base), "--author", author, "--wait", "0"},
      options.work + "/apply-" + std::to_string(number) + ".log");
  run_.report().AddRequest();
  while (!apply.Ended()) {
    co_await run_.Sleep(kPoll);
  }
  if (apply.status() == kExitAccepted || apply.status() == kExitNotEverywhere) {
    newest_version_ = std::max(newest_version_, base + 1);
    co_return ApplyOutcome::kAccepted;
  }
  co_return apply.status() == kExitConflict ? ApplyOutcome::kConflict
                                            : ApplyOutcome::kUnknown;
}

asio::awaitable<std::int64_t> ConfigWorkload::ReadVersion(
    runtime::Endpoint operators) {
  const std::string text = co_await run_.fleet().Get(operators, "/metrics");
  const std::size_t at = text.find(kVersionMetric);
  std::int64_t version = -1;
  if (at != std::string::npos) {
    const char* digits = text.data() + at + kVersionMetric.size();
    std::from_chars(digits, text.data() + text.size(), version);
  }
  co_return version;
}

std::vector<ConfigWorkload::Process> ConfigWorkload::Processes() {
  std::vector<Process> all;
  for (const EntryProcess& it : run_.fleet().entries()) {
    all.push_back({it.name, it.operators});
  }
  for (const Backend& it : run_.fleet().backends()) {
    all.push_back({it.agent_name, it.agent_operators});
  }
  return all;
}

asio::awaitable<void> ConfigWorkload::RaceOperators() {
  const std::int64_t base = newest_version_;
  std::array<std::optional<ApplyOutcome>, 2> ends;
  auto one = [&](std::size_t i) -> asio::awaitable<void> {
    ends.at(i) = co_await Apply(base, fmt::format("operator-{}", i));
  };
  auto none = []() -> asio::awaitable<void> { co_return; };
  run_.report().AddFault(Fault::kRacingOperators);
  co_await run_.RunConcurrently(ends.size(), one, none);
  int accepted = 0;
  int unknown = 0;
  for (const auto& it : ends) {
    accepted += it == ApplyOutcome::kAccepted ? 1 : 0;
    unknown += it == ApplyOutcome::kUnknown ? 1 : 0;
  }
  run_.report().Check("at_most_one_operator_wins", accepted <= 1,
                      fmt::format("base {}", base));
  if (unknown == 0) {
    run_.report().Check("one_operator_wins", accepted == 1,
                        fmt::format("base {}", base));
  } else if (accepted == 0) {
    // Either change may have taken effect; the next one is based on it.
    const ApplyOutcome again = co_await Apply(base, "after-unknown");
    newest_version_ = std::max(
        newest_version_, base + (again == ApplyOutcome::kConflict ? 1 : 0));
  }
}

asio::awaitable<bool> ConfigWorkload::WaitUntilPropagated() {
  const std::int64_t target_version = newest_version_;
  const auto deadline = std::chrono::steady_clock::now() + kPropagationBound;
  std::string behind;
  do {
    behind.clear();
    for (const Process& it : Processes()) {
      const std::int64_t version = co_await ReadVersion(it.operators);
      if (version < target_version) {
        behind +=
            fmt::format("{} at {} of {} ", it.name, version, target_version);
      }
    }
    if (behind.empty()) {
      break;
    }
    co_await run_.Sleep(kPoll);
  } while (std::chrono::steady_clock::now() < deadline);
  run_.report().Check("in_force_everywhere_in_time", behind.empty(), behind);
  co_return behind.empty();
}

asio::awaitable<void> ConfigWorkload::ApplyAndWait() {
  const ApplyOutcome end = co_await Apply(newest_version_, "operator");
  if (end == ApplyOutcome::kConflict) {
    ++newest_version_;  // An earlier change landed, but its answer was lost.
  }
  co_await WaitUntilPropagated();
}

asio::awaitable<void> ConfigWorkload::ObserveProcess(Process process) {
  const std::uint64_t incarnation = monitor_.Incarnation(process.name);
  const std::int64_t version = co_await ReadVersion(process.operators);
  if (version < 0) {
    co_return;
  }
  const std::optional<VersionDecrease> decrease =
      monitor_.Observe(process.name, incarnation, version);
  run_.report().Check("version_never_falls", !decrease.has_value(),
                      decrease ? fmt::format("{} from {} to {}", process.name,
                                             decrease->from, decrease->to)
                               : "");
}

asio::awaitable<void> ConfigWorkload::WatchVersions() {
  while (!run_.over()) {
    for (const Process& it : Processes()) {
      co_await ObserveProcess(it);
    }
    co_await run_.Sleep(kPoll);
  }
}

}  // namespace peridotgate::prove
