// explain: shows the timeline of one request from the logs of all processes.
#include <fstream>
#include <iostream>
#include <memory>

#include "operate/explain.h"
#include "operate/verb.h"

namespace peridotgate::operate {
namespace {

struct ExplainOptions {
  std::string request;
  std::vector<std::string> files;
};

VerbResult Explain(const ExplainOptions& options) {
  Explanation explanation(options.request);
  for (const std::string& it : options.files) {
    std::ifstream file(it);
    if (!file) {
      return Fail(Exit::kBadInput, it + ": can't be read; give a log file");
    }
    explanation.Read(file);
  }
  if (options.files.empty()) {
    explanation.Read(std::cin);
  }
  VerbResult result;
  result.lines = explanation.Timeline();
  if (result.lines.empty()) {
    return Fail(Exit::kNoAnswer,
                options.request +
                    ": in none of the logs; a request that was served may be "
                    "left out under load (peridotgate_log_dropped_total)");
  }
  return result;
}

}  // namespace

void AddExplain(CLI::App& app, RunVerb& run) {
  auto options = std::make_shared<ExplainOptions>();
  CLI::App* verb = app.add_subcommand(
      "explain", "show the timeline of a request from event logs");
  verb->add_option("id", options->request, "the request's id")->required();
  verb->add_option("files", options->files,
                   "event logs; standard input when left out");
  verb->callback([=, &run] { run = [=] { return Explain(*options); }; });
}

}  // namespace peridotgate::operate
