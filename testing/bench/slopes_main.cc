// Measures the slopes and prints them as JSON lines or as the table of the
// capacity page. Can also update the page.
#include <algorithm>
#include <cstdio>
#include <fstream>

#include <spdlog/fmt/fmt.h>
#include <CLI/CLI.hpp>
#include <boost/json.hpp>

#include "bench/capacity_page.h"
#include "bench/slopes.h"
#include "runtime/settings_file.h"

namespace peridotgate::bench {
namespace {

namespace json = boost::json;

struct Options {
  bool table = false;
  std::string page;
  std::string entry;
  std::string only;
  int repetitions = 5;
  BenchTargets targets;
};

std::string JoinSizes(const std::vector<std::size_t>& sizes) {
  return fmt::format("{}", fmt::join(sizes, " "));
}

void PrintLine(const SlopeResult& it) {
  json::object line{{"bench", "slopes"},
                    {"slope", it.output.name},
                    {"unit", it.output.unit},
                    {"value", it.median},
                    {"least", it.min},
                    {"most", it.max},
                    {"sizes", json::value_from(it.sizes)}};
  std::puts(json::serialize(line).c_str());
}

std::string FormatTable(const std::vector<SlopeResult>& results) {
  std::string table(kSlopeHeader);
  table += "\n| --- | --- | --- | --- | --- | --- |\n";
  for (const SlopeResult& it : results) {
    table +=
        fmt::format("| {} | {} | {} | {} | {} | {} |\n", it.output.name,
                    FormatValue(it.median), it.output.unit, FormatValue(it.min),
                    FormatValue(it.max), JoinSizes(it.sizes));
  }
  return table;
}

// Whether `only` is empty or names an output of `it`.
bool IsWanted(const SlopeCase& it, const std::string& only) {
  return only.empty() || std::any_of(it.outputs.begin(), it.outputs.end(),
                                     [&](const SlopeOutput& output) {
                                       return output.name == only;
                                     });
}

std::vector<SlopeResult> MeasureAll(const Options& options) {
  std::vector<SlopeResult> all;
  for (const auto& cases : {StateSlopes(), ControlSlopes(), OrderSlopes(),
                            WireSlopes(), PathSlopes()}) {
    for (const SlopeCase& it : cases) {
      if (!IsWanted(it, options.only)) {
        continue;
      }
      for (SlopeResult& result :
           MeasureSlopes(it, options.targets, options.repetitions)) {
        if (!options.table) {
          PrintLine(result);
        }
        all.push_back(std::move(result));
      }
    }
  }
  return all;
}

// Rewrites the page with its results recomputed. A non-empty `table` replaces
// the table of slopes first.
bool WritePage(const std::string& path, const std::string& table) {
  auto page = runtime::ReadFile(path);
  if (!page) {
    return false;
  }
  const std::string text = table.empty() ? *page : ReplaceSlopes(*page, table);
  const RecomputedPage recomputed = Recompute(text);
  for (const std::string& it : recomputed.errors) {
    std::fprintf(stderr, "%s: %s\n", path.c_str(), it.c_str());
  }
  std::ofstream(path) << recomputed.text;
  return recomputed.errors.empty();
}

int Run(Options& options) {
  std::string table;
  if (!options.entry.empty()) {
    auto entry = runtime::ParseEndpoint(options.entry);
    if (!entry) {
      std::fputs("--entry: expected IP:PORT\n", stderr);
      return 1;
    }
    options.targets.entry = *entry;
    table = FormatTable(MeasureAll(options));
  }
  if (options.table) {
    std::fputs(table.c_str(), stdout);
  }
  const bool ok = options.page.empty() || WritePage(options.page, table);
  return ok ? 0 : 1;
}

}  // namespace
}  // namespace peridotgate::bench

int main(int argc, char** argv) {
  peridotgate::bench::Options options;
  CLI::App app("slopes");
  app.add_flag("--table", options.table, "print the page's table");
  app.add_option("--page", options.page, "capacity page to update");
  app.add_option("--entry", options.entry,
                 "run the measurements; address of an entry for callers");
  app.add_option("--only", options.only,
                 "measure only the case with this slope");
  app.add_option("--entry-pid", options.targets.entry_pid);
  app.add_option("--agent-pid", options.targets.agent_pid);
  app.add_option("--idle-agent-pid", options.targets.idle_agent_pid);
  app.add_option("--key", options.targets.key);
  app.add_option("--repetitions", options.repetitions);
  CLI11_PARSE(app, argc, argv);
  return peridotgate::bench::Run(options);
}
