// gateway: runs an entry that connects to the platform's backend servers
// directly, without agents.
#include <memory>

#include "gateway/process.h"
#include "operate/verb.h"
#include "platform/fleet_format.h"
#include "platform/gateway_protocols.h"
#include "platform/rows_store.h"
#include "runtime/settings_file.h"

namespace peridotgate::operate {
namespace {

struct GatewayOptions {
  std::string settings;
  bool check = false;
};

VerbResult Gateway(const GatewayOptions& options) {
  auto settings =
      runtime::LoadSettings(options.settings, gateway::ReadGatewaySettings);
  VerbResult result;
  if (!settings) {
    result.exit = Exit::kBadInput;
    return result;
  }
  if (options.check) {
    result.lines = {options.settings + ": settings are valid"};
    return result;
  }
  const platform::PlatformCallers callers;
  const platform::PlatformServers servers;
  const platform::PlatformFleet format;
  const gateway::Protocols protocols{
      callers, servers, format, std::string(platform::kReadinessPath),
      [](boost::asio::io_context& context, const runtime::Endpoint& store,
         runtime::Metrics& metrics) -> std::unique_ptr<gateway::Store> {
        return std::make_unique<platform::RowsStore>(context, store, metrics);
      }};
  result.exit = static_cast<Exit>(gateway::RunGateway(*settings, protocols));
  return result;
}

}  // namespace

void AddGateway(CLI::App& app, RunVerb& run) {
  auto options = std::make_shared<GatewayOptions>();
  CLI::App* verb = app.add_subcommand(
      "gateway", "run an entry that connects to backend servers directly");
  verb->add_option("--settings", options->settings, "YAML settings")
      ->required();
  verb->add_flag("--check", options->check, "check the settings file and exit");
  verb->callback([=, &run] { run = [=] { return Gateway(*options); }; });
}

}  // namespace peridotgate::operate
