#include "operate/verb.h"

#include <array>
#include <cstdio>
#include <fstream>
#include <sstream>

#include <spdlog/fmt/fmt.h>

namespace peridotgate::operate {
namespace {

using AddVerb = void (*)(CLI::App&, RunVerb&);

constexpr std::array<AddVerb, 11> kVerbs = {
    AddServe, AddGateway, AddExplain, AddSurvey, AddCheck, AddDiff,
    AddApply, AddStatus,  AddHistory, AddRevert, AddReport};

void PrintText(const VerbResult& result) {
  for (const std::string& it : result.lines) {
    std::printf("%s\n", it.c_str());
  }
  for (const std::string& it : result.faults) {
    std::fprintf(stderr, "%s\n", it.c_str());
  }
}

void PrintJson(VerbResult result) {
  result.json["exit"] = static_cast<int>(result.exit);
  if (!result.faults.empty()) {
    result.json["faults"] = ToJson(result.faults);
  }
  std::printf("%s\n", boost::json::serialize(result.json).c_str());
}

}  // namespace

VerbResult Fail(Exit exit, std::vector<std::string> faults) {
  VerbResult result;
  result.exit = exit;
  result.faults = std::move(faults);
  return result;
}

VerbResult Fail(Exit exit, std::string fault) {
  return Fail(exit, std::vector<std::string>{std::move(fault)});
}

VerbResult Fail(ReadError error) {
  if (error == ReadError::kGap) {
    return Fail(Exit::kPlatform,
                "a change is missing or unreadable in the platform's table; "
                "restore the partition config-change before any new change");
  }
  return Fail(Exit::kPlatform,
              "the platform's table can't be reached; what is in force stays "
              "so; check --table and try again");
}

VerbResult Fail(platform::PlatformError error) {
  return Fail(Exit::kPlatform,
              fmt::format("the list of instances can't be read ({}); check "
                          "--instances, or --table without it, and try again",
                          platform::Name(error)));
}

VerbResult BadAddress() {
  return Fail(Exit::kBadInput,
              "--table and --instances: expected IP:PORT, such as "
              "127.0.0.1:8080");
}

void AddPlatformOptions(CLI::App& app, PlatformOptions& options) {
  app.add_option("--table", options.table,
                 "the platform's table service, IP:PORT")
      ->envname("PERIDOTGATE_TABLE")
      ->required();
  app.add_option("--instances", options.instances,
                 "the platform's list of instances, IP:PORT; as --table when "
                 "left out")
      ->envname("PERIDOTGATE_INSTANCES");
}

std::optional<runtime::Endpoint> TableOf(const PlatformOptions& options) {
  return runtime::ParseEndpoint(options.table);
}

std::optional<runtime::Endpoint> InstancesOf(const PlatformOptions& options) {
  return runtime::ParseEndpoint(options.instances.empty() ? options.table
                                                          : options.instances);
}

coordination::Result<std::string, VerbResult> LoadText(
    const std::string& path) {
  std::ifstream file(path);
  std::ostringstream text;
  text << file.rdbuf();
  if (file.fail()) {
    return Fail(Exit::kBadInput,
                path + ": can't be read; name a file that can be");
  }
  return text.str();
}

coordination::Result<History, VerbResult> LoadHistory(
    const PlatformOptions& options) {
  auto table = TableOf(options);
  if (!table || !InstancesOf(options)) {
    return BadAddress();
  }
  auto history = ReadHistory(*table);
  if (!history) {
    return Fail(history.error());
  }
  return std::move(history.value());
}

boost::json::array ToJson(const std::vector<std::string>& lines) {
  boost::json::array all;
  for (const std::string& it : lines) {
    all.emplace_back(it);
  }
  return all;
}

int RunCommandLine(int argc, char** argv) {
  CLI::App app("peridotgate: a router for language-model work");
  app.require_subcommand(1);
  bool as_json = false;
  app.add_flag("--json", as_json, "print the result as one JSON object");
  RunVerb run;
  for (const AddVerb add : kVerbs) {
    add(app, run);
  }
  for (CLI::App* verb : app.get_subcommands({})) {
    verb->fallthrough();
  }
  try {
    app.parse(argc, argv);
  } catch (const CLI::ParseError& e) {
    const bool help = app.exit(e) == 0;
    return static_cast<int>(help ? Exit::kOk : Exit::kBadInput);
  }
  const VerbResult result = run();
  if (as_json) {
    PrintJson(result);
  } else {
    PrintText(result);
  }
  return static_cast<int>(result.exit);
}

}  // namespace peridotgate::operate
