// Entry point of the agent, which runs beside one backend server.
#include <CLI/CLI.hpp>

#include "agent/process.h"
#include "runtime/log.h"
#include "runtime/settings_file.h"

int main(int argc, char** argv) {
  CLI::App app("peridotgate-agent: queues and runs calls to a backend server");
  std::string path;
  bool check = false;
  app.add_option("--settings", path, "YAML settings file")->required();
  app.add_flag("--check", check, "check the settings file and exit");
  CLI11_PARSE(app, argc, argv);
  auto settings = peridotgate::runtime::LoadSettings(
      path, peridotgate::agent::ReadAgentSettings);
  if (!settings) {
    return 2;
  }
  if (check) {
    std::printf("%s: settings are valid\n", path.c_str());
    return 0;
  }
  peridotgate::runtime::StartLog(settings->limits.instance,
                                 settings->log_level);
  return peridotgate::agent::RunAgent(*settings);
}
