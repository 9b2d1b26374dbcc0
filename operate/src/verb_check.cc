// check: validates a generated configuration, answers or settings offline.
#include <memory>

#include "entry/settings.h"
#include "operate/answers.h"
#include "operate/verb.h"
#include "proposal.h"
#include "runtime/settings_file.h"

namespace peridotgate::operate {
namespace {

struct CheckOptions {
  std::string rules;
  std::string answers;
  std::string settings;
};

VerbResult Good(const std::string& file) {
  VerbResult result;
  result.lines = {file + ": good"};
  result.json["file"] = file;
  return result;
}

VerbResult CheckAnswersFile(const std::string& file) {
  auto text = LoadText(file);
  if (!text) {
    return text.error();
  }
  auto answers = ReadAnswers(file, text.value());
  return answers ? Good(file) : Fail(Exit::kBadInput, answers.error().lines);
}

VerbResult CheckSettings(const std::string& file) {
  auto settings = runtime::LoadSettings(file, entry::ReadEntrySettings);
  return settings ? Good(file)
                  : Fail(Exit::kBadInput, std::vector<std::string>{});
}

VerbResult Check(const CheckOptions& options) {
  if (!options.settings.empty()) {
    return CheckSettings(options.settings);
  }
  if (!options.answers.empty()) {
    return CheckAnswersFile(options.answers);
  }
  if (options.rules.empty()) {
    return Fail(Exit::kBadInput,
                "name a file with --rules, --answers or --settings");
  }
  auto proposal = LoadProposal(options.rules);
  return proposal ? Good(options.rules) : proposal.error();
}

}  // namespace

void AddCheck(CLI::App& app, RunVerb& run) {
  auto options = std::make_shared<CheckOptions>();
  CLI::App* verb = app.add_subcommand("check", "validate a file");
  verb->add_option("--rules", options->rules, "a generated configuration");
  verb->add_option("--answers", options->answers, "answers");
  verb->add_option("--settings", options->settings, "an entry's settings");
  verb->callback([=, &run] { run = [=] { return Check(*options); }; });
}

}  // namespace peridotgate::operate
