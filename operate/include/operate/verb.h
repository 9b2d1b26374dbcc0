// The verbs of the command line and their results.
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

/** The output of a verb: lines for people, JSON for programs. */
struct VerbResult {
  Exit exit = Exit::kOk;
  std::vector<std::string> lines;
  std::vector<std::string> faults;
  boost::json::object json;
};

/** A failure with one message, which says what to change. */
VerbResult Fail(Exit exit, std::string fault);

/** A failure with several messages. */
VerbResult Fail(Exit exit, std::vector<std::string> faults);

VerbResult Fail(ReadError error);
VerbResult Fail(platform::PlatformError error);

/** Runs a verb after its options have been parsed. */
using RunVerb = std::function<VerbResult()>;

/** The platform's addresses, an option of most verbs. */
struct PlatformOptions {
  std::string table;
  std::string instances;
};

/** Adds --table and --instances, which may also come from the environment. */
void AddPlatformOptions(CLI::App& app, PlatformOptions& options);

/** Parses the address in an option; nothing if it is invalid. */
std::optional<runtime::Endpoint> TableOf(const PlatformOptions& options);
std::optional<runtime::Endpoint> InstancesOf(const PlatformOptions& options);

/** The failure for an address that can't be parsed. */
VerbResult BadAddress();

/** Reads a file, or returns the failure to print. */
coordination::Result<std::string, VerbResult> LoadText(const std::string& path);

/** Reads the history from the table, or returns the failure to print. */
coordination::Result<History, VerbResult> LoadHistory(
    const PlatformOptions& options);

/** `lines` as a JSON array. */
boost::json::array ToJson(const std::vector<std::string>& lines);

/** Each adds a verb to `app`; parsing sets `run` to the chosen verb. */
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

/** Parses the command line, runs the verb and prints; returns the exit code. */
int RunCommandLine(int argc, char** argv);

}  // namespace peridotgate::operate

#endif  // OPERATE_VERB_H_
