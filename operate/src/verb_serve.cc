// serve: runs an entry instance.
#include <memory>

#include "entry/process.h"
#include "operate/verb.h"
#include "runtime/log.h"
#include "runtime/settings_file.h"

namespace peridotgate::operate {
namespace {

struct ServeOptions {
  std::string settings;
  bool check = false;
};

VerbResult Serve(const ServeOptions& options) {
  auto settings =
      runtime::LoadSettings(options.settings, entry::ReadEntrySettings);
  VerbResult result;
  if (!settings) {
    result.exit = Exit::kBadInput;
    return result;
  }
  if (options.check) {
    result.lines = {options.settings + ": settings are valid"};
    return result;
  }
  runtime::StartLog(settings->instance, settings->log_level);
  result.exit = static_cast<Exit>(entry::RunEntry(*settings));
  return result;
}

}  // namespace

void AddServe(CLI::App& app, RunVerb& run) {
  auto options = std::make_shared<ServeOptions>();
  CLI::App* verb = app.add_subcommand("serve", "run an entry instance");
  verb->add_option("--settings", options->settings, "YAML settings")
      ->required();
  verb->add_flag("--check", options->check, "check the settings file and exit");
  verb->callback([=, &run] { run = [=] { return Serve(*options); }; });
}

}  // namespace peridotgate::operate
