// report burn: shows organisations' shares of the service and error budget
// burn.
#include <chrono>
#include <fstream>
#include <memory>

#include <spdlog/fmt/fmt.h>

#include "burn_fetch.h"
#include "operate/verb.h"

namespace peridotgate::operate {
namespace {

struct ReportOptions {
  PlatformOptions platform;
  std::string window{entry::kDefaultBurnWindow.name};
  std::string html;
};

std::int64_t NowMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

VerbResult WriteHtml(const std::string& path, const BurnReport& report) {
  std::ofstream file(path);
  file << ToHtml(report, FormatTime(NowMs()));
  file.close();
  if (file.fail()) {
    return Fail(Exit::kBadInput,
                path + ": can't be written; name a file that can be");
  }
  VerbResult result;
  result.lines = {path + ": written"};
  return result;
}

VerbResult ReportBurn(const ReportOptions& options) {
  auto list = InstancesOf(options.platform);
  if (!list) {
    return BadAddress();
  }
  auto report = FetchReport(*list, *entry::FindBurnWindow(options.window));
  if (!report) {
    return Fail(report.error());
  }
  if (report.value().entries == 0) {
    return Fail(Exit::kNoAnswer,
                "no entry answered; look at \"status\" and at whether their "
                "operators' addresses can be reached from here");
  }
  VerbResult result;
  if (options.html.empty()) {
    result.lines = ToText(report.value());
  } else {
    result = WriteHtml(options.html, report.value());
  }
  result.json = ToJson(report.value());
  return result;
}

}  // namespace

void AddReport(CLI::App& app, RunVerb& run) {
  auto options = std::make_shared<ReportOptions>();
  CLI::App* report = app.add_subcommand("report", "reports for operators");
  report->require_subcommand(1);
  CLI::App* verb =
      report->add_subcommand("burn", "error budgets and how fast they burn");
  verb->fallthrough();
  AddPlatformOptions(*verb, options->platform);
  verb->add_option("--window", options->window, "how far to look back")
      ->check(CLI::IsMember({"5m", "30m", "1h", "6h"}));
  verb->add_option("--html", options->html, "write one HTML page here");
  verb->callback([=, &run] { run = [=] { return ReportBurn(*options); }; });
}

}  // namespace peridotgate::operate
