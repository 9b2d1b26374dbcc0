// revert: applies the content of an older version as a new version.
#include <memory>

#include <spdlog/fmt/fmt.h>

#include "operate/verb.h"
#include "proposal.h"

namespace peridotgate::operate {
namespace {

struct RevertOptions {
  std::int64_t to = 0;
  ChangeOptions change;
};

// The digest of the answers that `version` was generated from; empty if that
// change is no longer retained.
std::string AnswersDigestAt(const History& history, std::int64_t version) {
  for (const coordination::Change& it : history.changes) {
    if (it.version == version) {
      return it.answers_digest;
    }
  }
  return "";
}

VerbResult Revert(const RevertOptions& options) {
  auto history = LoadHistory(options.change.platform);
  if (!history) {
    return history.error();
  }
  if (options.to < 1 || options.to > history.value().version()) {
    return Fail(Exit::kBadInput,
                fmt::format("--to: expected a version from 1 to {}",
                            history.value().version()));
  }
  if (!CanReconstruct(history.value(), options.to)) {
    return Fail(Exit::kBadInput,
                fmt::format("--to: version {} is no longer kept whole; apply "
                            "rules generated from its answers instead",
                            options.to));
  }
  const Proposal proposal{AnswersDigestAt(history.value(), options.to),
                          SectionsAt(history.value(), options.to)};
  return ApplyProposal(options.change, history.value(), proposal);
}

}  // namespace

void AddRevert(CLI::App& app, RunVerb& run) {
  auto options = std::make_shared<RevertOptions>();
  CLI::App* verb = app.add_subcommand(
      "revert", "apply the content of an older version as a new one");
  verb->add_option("--to", options->to, "the version to go back to")
      ->required();
  AddChangeOptions(*verb, options->change);
  verb->callback([=, &run] { run = [=] { return Revert(*options); }; });
}

}  // namespace peridotgate::operate
