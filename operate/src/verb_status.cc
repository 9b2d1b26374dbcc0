// status: shows the version in force in each instance and organisations'
// shares.
#include <algorithm>
#include <memory>

#include <spdlog/fmt/fmt.h>

#include "burn_fetch.h"
#include "operate/instances.h"
#include "operate/verb.h"

namespace peridotgate::operate {
namespace {

constexpr BurnWindow kShareWindow = kBurnWindows[1];

struct StatusOptions {
  PlatformOptions platform;
};

void ShowInstances(const std::vector<InstanceStatus>& all,
                   std::int64_t newest,
                   VerbResult& result) {
  boost::json::array instances;
  for (const InstanceStatus& it : all) {
    const bool behind = it.version < newest;
    result.lines.push_back(fmt::format(
        "{:20} {:8} {:10} {:10} version {}{}", it.instance, it.role,
        it.data_centre, it.state, it.version, behind ? "  BEHIND" : ""));
    instances.push_back({{"instance", it.instance},
                         {"role", it.role},
                         {"data_centre", it.data_centre},
                         {"state", it.state},
                         {"version", it.version},
                         {"behind", behind}});
  }
  result.json["instances"] = std::move(instances);
}

void ShowDraining(const std::vector<platform::ListedInstance>& listed,
                  VerbResult& result) {
  boost::json::array leaving;
  for (const platform::ListedInstance& it : listed) {
    if (it.leaving) {
      result.lines.push_back(
          fmt::format("{} ({}) is leaving", it.instance, it.role));
      leaving.emplace_back(it.instance);
    }
  }
  result.json["leaving"] = std::move(leaving);
}

void ShowShares(const BurnReport& report, VerbResult& result) {
  constexpr double kPercent = 100;
  std::vector<OrganisationReport> all = report.organisations;
  std::stable_sort(all.begin(), all.end(), IsWorseServed);
  boost::json::array shares;
  for (const OrganisationReport& it : all) {
    if (shares.size() < kMaxRows) {
      result.lines.push_back(fmt::format(
          "{:20} received {:.2f} of what it is owed: {:.1f} % of {:.1f} %, {}",
          it.name, it.ratio(), kPercent * it.received, kPercent * it.fair_share,
          it.standing()));
    }
    shares.push_back({{"organisation", it.name},
                      {"received", it.received},
                      {"owed", it.fair_share},
                      {"ratio", it.ratio()},
                      {"standing", it.standing()}});
  }
  if (all.size() > kMaxRows) {
    result.lines.push_back(
        fmt::format("and {} more organisations, better off: "
                    "see --json",
                    all.size() - kMaxRows));
  }
  if (all.empty()) {
    result.lines.emplace_back(report.entries == 0
                                  ? "shares: no entry reported what it served"
                                  : "shares: nobody sent work for 30 minutes");
  }
  result.json["shares"] = std::move(shares);
}

VerbResult Status(const StatusOptions& options) {
  auto table = TableOf(options.platform);
  auto list = InstancesOf(options.platform);
  if (!table || !list) {
    return BadAddress();
  }
  auto listed = ReadInstanceList(*list);
  auto instances = QueryStatus(*list);
  if (!listed || !instances) {
    return Fail(listed ? instances.error() : listed.error());
  }
  auto history = ReadHistory(*table);
  std::int64_t newest = history ? history.value().version() : 0;
  for (const InstanceStatus& it : instances.value()) {
    newest = std::max(newest, it.version);
  }
  VerbResult result;
  result.lines.push_back(fmt::format(
      "version {} is the newest{}", newest,
      history ? "" : " that an instance knows; the table can't be reached"));
  result.json["version"] = newest;
  ShowInstances(instances.value(), newest, result);
  ShowDraining(listed.value(), result);
  auto report = FetchReport(*list, kShareWindow);
  if (report) {
    ShowShares(report.value(), result);
  }
  const auto behind = FindLagging(instances.value(), newest);
  result.exit = behind.empty() ? Exit::kOk : Exit::kNotEverywhere;
  return result;
}

}  // namespace

void AddStatus(CLI::App& app, RunVerb& run) {
  auto options = std::make_shared<StatusOptions>();
  CLI::App* verb = app.add_subcommand(
      "status", "show which version is in force in each instance");
  AddPlatformOptions(*verb, options->platform);
  verb->callback([=, &run] { run = [=] { return Status(*options); }; });
}

}  // namespace peridotgate::operate
