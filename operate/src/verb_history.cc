// history: lists the accepted changes.
#include <memory>

#include <spdlog/fmt/fmt.h>

#include "operate/verb.h"

namespace peridotgate::operate {
namespace {

struct HistoryOptions {
  PlatformOptions platform;
  std::int64_t since = 0;
  std::string change;
};

boost::json::array ChangesOf(const History& history, std::int64_t since) {
  boost::json::array all;
  for (const coordination::Change& it : history.changes) {
    if (it.version > since) {
      all.push_back({{"version", it.version},
                     {"author", it.author},
                     {"at", FormatTime(it.at_ms)},
                     {"change_id", coordination::ToHex(it.change_id)},
                     {"answers_digest", it.answers_digest}});
    }
  }
  return all;
}

// Shows whether the change with this id was accepted.
VerbResult ShowChange(const History& history, const std::string& hex) {
  auto id = coordination::ParseId(hex);
  if (!id) {
    return Fail(Exit::kBadInput,
                "--change: expected the 32 hexadecimal digits that \"apply\" "
                "printed");
  }
  VerbResult result;
  const coordination::Change* change = FindChange(history, *id);
  result.json["accepted"] = change != nullptr;
  if (change == nullptr) {
    result.lines.push_back(fmt::format(
        "change {} is not among the kept ones up to version {}: not accepted "
        "so far, and never if that version is not the base it was made from",
        hex, history.version()));
    return result;
  }
  result.json["version"] = change->version;
  result.lines.push_back(fmt::format("change {} is version {} by {} at {}", hex,
                                     change->version, change->author,
                                     FormatTime(change->at_ms)));
  return result;
}

VerbResult ShowHistory(const HistoryOptions& options) {
  auto history = LoadHistory(options.platform);
  if (!history) {
    return history.error();
  }
  if (!options.change.empty()) {
    return ShowChange(history.value(), options.change);
  }
  VerbResult result;
  result.lines = DescribeSince(history.value(), options.since);
  if (result.lines.empty()) {
    result.lines.push_back(
        fmt::format("no change after version {}; version {} "
                    "is the newest",
                    options.since, history.value().version()));
  }
  result.json["changes"] = ChangesOf(history.value(), options.since);
  return result;
}

}  // namespace

void AddHistory(CLI::App& app, RunVerb& run) {
  auto options = std::make_shared<HistoryOptions>();
  CLI::App* verb =
      app.add_subcommand("history", "show who changed what, and when");
  AddPlatformOptions(*verb, options->platform);
  verb->add_option("--since", options->since, "only versions after this one");
  verb->add_option("--change", options->change,
                   "show whether the change with this id was accepted");
  verb->callback([=, &run] { run = [=] { return ShowHistory(*options); }; });
}

}  // namespace peridotgate::operate
