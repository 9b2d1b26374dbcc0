// apply: puts a generated configuration into force.
#include <memory>

#include "operate/verb.h"
#include "proposal.h"

namespace peridotgate::operate {
namespace {

struct ApplyOptions {
  std::string rules;
  ChangeOptions change;
};

VerbResult RunApply(const ApplyOptions& options) {
  auto proposal = LoadProposal(options.rules);
  if (!proposal) {
    return proposal.error();
  }
  auto history = LoadHistory(options.change.platform);
  if (!history) {
    return history.error();
  }
  return ApplyProposal(options.change, history.value(), proposal.value());
}

}  // namespace

void AddApply(CLI::App& app, RunVerb& run) {
  auto options = std::make_shared<ApplyOptions>();
  CLI::App* verb = app.add_subcommand("apply", "put a change into force");
  verb->add_option("--rules", options->rules, "generated configuration")
      ->required();
  AddChangeOptions(*verb, options->change);
  verb->callback([=, &run] { run = [=] { return RunApply(*options); }; });
}

}  // namespace peridotgate::operate
