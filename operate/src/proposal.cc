#include "proposal.h"

#include <chrono>
#include <optional>

#include <spdlog/fmt/fmt.h>

#include "operate/apply.h"
#include "operate/conflict.h"
#include "operate/credential.h"
#include "operate/instances.h"
#include "operate/rules_file.h"

namespace peridotgate::operate {
namespace {

using coordination::Result;
using coordination::Section;

constexpr std::int64_t kDefaultWaitS = 30;

// Digests of the operators' keys that may change the configuration. Before the
// first version, the proposal's own keys apply.
std::vector<std::string> AcceptedKeys(const std::vector<Section>& in_force,
                                      const Proposal& proposal) {
  const auto rules =
      ReadSections(in_force.empty() ? proposal.sections : in_force);
  return rules.fleet.operator_key_digests;
}

// Rejects a change whose base is not the version in force.
VerbResult RejectStaleBase(const ChangeOptions& options,
                           const History& history,
                           const Proposal& proposal) {
  VerbResult result = Fail(
      Exit::kConflict,
      DescribeConflict(MakeConflict(history, options.base, proposal.sections)));
  result.json["version"] = history.version();
  return result;
}

// Reports that another change was committed first: which one, and what remains
// of this one.
VerbResult ConflictResult(const ChangeOptions& options,
                          const Proposal& proposal,
                          const ApplyFailure& failure) {
  auto history = ReadHistory(*TableOf(options.platform));
  VerbResult result = history
                          ? RejectStaleBase(options, history.value(), proposal)
                          : Fail(Exit::kConflict,
                                 std::vector<std::string>{
                                     "refused as a whole: another change came "
                                     "first, and the table can't be read for "
                                     "what it changed; look with \"history\""});
  if (failure.winner) {
    const WinningChange& it = *failure.winner;
    result.faults.insert(
        result.faults.begin(),
        fmt::format("version {} was taken by {} at {}, change {}", it.version,
                    it.author, FormatTime(it.at_ms),
                    coordination::ToHex(it.change_id)));
    result.json["winner"] = {{"version", it.version},
                             {"author", it.author},
                             {"at", FormatTime(it.at_ms)},
                             {"change_id", coordination::ToHex(it.change_id)}};
  }
  return result;
}

VerbResult WaitForRollout(const ChangeOptions& options,
                          std::int64_t version,
                          VerbResult result) {
  auto behind = WaitUntilInForce(*InstancesOf(options.platform), version,
                                 std::chrono::seconds(options.wait_s));
  if (!behind) {
    result.exit = Exit::kNotEverywhere;
    result.faults.push_back(
        "accepted, but the list of instances can't be read: look again with "
        "\"status\"");
    return result;
  }
  for (const InstanceStatus& it : behind.value()) {
    result.exit = Exit::kNotEverywhere;
    result.faults.push_back(fmt::format("{} ({}) is behind: version {}, {}",
                                        it.instance, it.data_centre, it.version,
                                        it.state));
  }
  if (behind.value().empty()) {
    result.lines.emplace_back("in force on all listed instances");
  }
  result.json["in_force_everywhere"] = behind.value().empty();
  return result;
}

VerbResult UnknownOutcome(const coordination::Id128& id) {
  const std::string hex = coordination::ToHex(id);
  VerbResult result = Fail(
      Exit::kPlatform,
      {fmt::format("unknown whether change {} was accepted: the platform's "
                   "table took it and then did not answer",
                   hex),
       fmt::format("when the table answers, run the same command again, which "
                   "accepts it once, or look with \"history --change {}\"",
                   hex)});
  result.json["change_id"] = hex;
  return result;
}

VerbResult FailureResult(const ChangeOptions& options,
                         const Proposal& proposal,
                         const ApplyFailure& failure,
                         const coordination::Id128& id) {
  switch (failure.error) {
    case ApplyError::kConflict:
      return ConflictResult(options, proposal, failure);
    case ApplyError::kTooLarge:
      return Fail(Exit::kBadInput,
                  "nothing was changed: the change is over 3 MB, or one "
                  "organisation is over 256 KB; apply some organisations "
                  "first, then the others");
    case ApplyError::kPlatform:
      return Fail(Exit::kPlatform,
                  "nothing was changed: the platform's table can't be "
                  "reached; check --table and run the same command again");
    case ApplyError::kUnknown:
      break;
  }
  return UnknownOutcome(id);
}

VerbResult Commit(const ChangeOptions& options,
                  const Proposal& proposal,
                  const ApplyRequest& request,
                  VerbResult result) {
  const coordination::Id128 id = MakeChangeId(request);
  auto version = Apply(request);
  if (!version) {
    return FailureResult(options, proposal, version.error(), id);
  }
  result.lines.push_back(
      fmt::format("accepted as version {}", version.value()));
  result.json["version"] = version.value();
  result.json["change_id"] = coordination::ToHex(id);
  return WaitForRollout(options, version.value(), std::move(result));
}

ApplyRequest MakeRequest(const ChangeOptions& options,
                         const std::vector<Section>& in_force,
                         const Proposal& proposal) {
  return {*TableOf(options.platform), options.base, options.author,
          proposal.answers_digest, Difference(in_force, proposal.sections)};
}

// Returns the version of this change if an earlier run already committed it;
// the operator may not have seen the outcome of that run.
std::optional<std::int64_t> FindEarlierRun(const ChangeOptions& options,
                                           const History& history,
                                           const Proposal& proposal) {
  if (!CanReconstruct(history, options.base)) {
    return std::nullopt;
  }
  const auto request =
      MakeRequest(options, SectionsAt(history, options.base), proposal);
  const coordination::Change* change =
      FindChange(history, MakeChangeId(request));
  return change == nullptr ? std::nullopt : std::optional(change->version);
}

VerbResult AlreadyAccepted(const ChangeOptions& options,
                           const History& history,
                           std::int64_t version) {
  VerbResult result;
  result.lines.push_back(fmt::format(
      "accepted as version {}: by an earlier run, nothing was done again",
      version));
  if (version < history.version()) {
    result.lines.push_back(
        fmt::format("version {} is in force by now: see \"history --since {}\"",
                    history.version(), version));
  }
  result.json["version"] = version;
  return WaitForRollout(options, version, std::move(result));
}

}  // namespace

Result<Proposal, VerbResult> LoadProposal(const std::string& file) {
  auto text = LoadText(file);
  if (!text) {
    return text.error();
  }
  auto rules = ReadRules(file, text.value());
  if (!rules) {
    return Fail(Exit::kBadInput, rules.error().lines);
  }
  return Proposal{rules.value().answers_digest,
                  MakeSections(rules.value().answers)};
}

void AddChangeOptions(CLI::App& app, ChangeOptions& options) {
  AddPlatformOptions(app, options.platform);
  app.add_option("--base", options.base,
                 "the version in force that the change is based on")
      ->required();
  app.add_option("--author", options.author, "author of the change")
      ->required();
  app.add_option("--operator-key-file", options.key_file,
                 "file with the operator's key; else the variable "
                 "PERIDOTGATE_OPERATOR_KEY");
  options.wait_s = kDefaultWaitS;
  app.add_option("--wait", options.wait_s,
                 "seconds to wait until the change is in force everywhere");
}

VerbResult ApplyProposal(const ChangeOptions& options,
                         const History& history,
                         const Proposal& proposal) {
  auto credential = ReadCredential(options.key_file);
  if (!credential) {
    return Fail(Exit::kCredential, Advice(credential.error()));
  }
  const auto in_force = SectionsAt(history, history.version());
  auto accepted =
      CheckCredential(credential.value(), AcceptedKeys(in_force, proposal));
  if (!accepted) {
    return Fail(Exit::kCredential, Advice(accepted.error()));
  }
  if (options.base != history.version()) {
    auto earlier = FindEarlierRun(options, history, proposal);
    return earlier ? AlreadyAccepted(options, history, *earlier)
                   : RejectStaleBase(options, history, proposal);
  }
  const ApplyRequest request = MakeRequest(options, in_force, proposal);
  VerbResult result;
  result.lines =
      Describe(ReadSections(in_force), ReadSections(proposal.sections));
  result.json["changes"] = ToJson(result.lines);
  if (request.sections.empty()) {
    result.lines.push_back(fmt::format(
        "nothing to change: version {} says the same", history.version()));
    return result;
  }
  return Commit(options, proposal, request, std::move(result));
}

}  // namespace peridotgate::operate
