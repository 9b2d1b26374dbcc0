// The verbs of the command line and what each run of one yields.
#ifndef OPERATE_VERB_H_
#define OPERATE_VERB_H_

#include <functional>
#include <string>
#include <vector>

#include <CLI/CLI.hpp>
#include <boost/json.hpp>

#include "operate/configuration.h"
#include "platform/table.h"
#include "runtime/settings_reader.h"

namespace peridotgate::operate {

/** Exit codes of every verb. */
enum class Exit {
  kOk = 0,
  kInternal = 1,
  kBadInput = 2,
  kConflict = 3,
  kPlatform = 4,
  kCredential = 5,
  kNotEverywhere = 6,
  kNoAnswer = 7,
};

/** What a verb has to say: to people by lines, to programs as JSON. */
struct VerbResult {
  Exit exit = Exit::kOk;
  std::vector<std::string> lines;
  std::vector<std::string> faults;
  boost::json::object json;
};

/** A failure with one line that says what to change. */
VerbResult Fail(Exit exit, std::string fault);

/** A failure with several such lines. */
VerbResult Fail(Exit exit, std::vector<std::string> faults);

VerbResult Fail(ReadError error);
VerbResult Fail(platform::PlatformError error);

/** Runs a verb whose options have been read. */
using RunVerb = std::function<VerbResult()>;

/** Where the platform is, as every verb asks for it. */
struct PlatformOptions {
  std::string table;
  std::string instances;
};

/** Adds --table and --instances, which the environment may give as well. */
void AddPlatformOptions(CLI::App& app, PlatformOptions& options);

/** The endpoint that an option spells, or nothing. */
std::optional<runtime::Endpoint> TableOf(const PlatformOptions& options);
std::optional<runtime::Endpoint> InstancesOf(const PlatformOptions& options);

/** The failure of an address that was not understood. */
VerbResult BadAddress();

/** The text of a file, or the failure to print. */
coordination::Result<std::string, VerbResult> LoadText(const std::string& path);

/** The history in the platform's table, or the failure to print. */
coordination::Result<History, VerbResult> LoadHistory(
    const PlatformOptions& options);

/** `lines` as a JSON array. */
boost::json::array ToJson(const std::vector<std::string>& lines);

/** Each adds its verb to `app`; `run` gets the work of the one chosen. */
void AddServe(CLI::App& app, RunVerb& run);
void AddGateway(CLI::App& app, RunVerb& run);
void AddExplain(CLI::App& app, RunVerb& run);
void AddSurvey(CLI::App& app, RunVerb& run);
void AddCheck(CLI::App& app, RunVerb& run);
void AddDiff(CLI::App& app, RunVerb& run);
void AddApply(CLI::App& app, RunVerb& run);
void AddStatus(CLI::App& app, RunVerb& run);
void AddHistory(CLI::App& app, RunVerb& run);
void AddRevert(CLI::App& app, RunVerb& run);
void AddReport(CLI::App& app, RunVerb& run);

/** Reads the command line, runs the verb, prints; the exit code. */
int RunCommandLine(int argc, char** argv);

}  // namespace peridotgate::operate

#endif  // OPERATE_VERB_H_
