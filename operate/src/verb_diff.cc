// diff: compares a generated configuration with the version in force.
#include <memory>

#include <spdlog/fmt/fmt.h>

#include "operate/verb.h"
#include "proposal.h"

namespace peridotgate::operate {
namespace {

struct DiffOptions {
  std::string rules;
  PlatformOptions platform;
};

VerbResult Diff(const DiffOptions& options) {
  auto proposal = LoadProposal(options.rules);
  if (!proposal) {
    return proposal.error();
  }
  auto history = LoadHistory(options.platform);
  if (!history) {
    return history.error();
  }
  const std::int64_t version = history.value().version();
  VerbResult result;
  result.lines = Describe(ReadSections(SectionsAt(history.value(), version)),
                          ReadSections(proposal.value().sections));
  result.json["base"] = version;
  result.json["changes"] = ToJson(result.lines);
  result.lines.push_back(
      result.lines.empty()
          ? fmt::format("the same as version {}, which is in force", version)
          : fmt::format("against version {}; apply with --base {}", version,
                        version));
  return result;
}

}  // namespace

void AddDiff(CLI::App& app, RunVerb& run) {
  auto options = std::make_shared<DiffOptions>();
  CLI::App* verb =
      app.add_subcommand("diff", "show what a configuration would change");
  verb->add_option("--rules", options->rules, "generated configuration")
      ->required();
  AddPlatformOptions(*verb, options->platform);
  verb->callback([=, &run] { run = [=] { return Diff(*options); }; });
}

}  // namespace peridotgate::operate
