// A generated configuration beside what is in force.
#ifndef OPERATE_PROPOSAL_H_
#define OPERATE_PROPOSAL_H_

#include <string>
#include <vector>

#include "operate/configuration.h"
#include "operate/verb.h"

namespace peridotgate::operate {

/** Sections that are to be in force, and where they come from. */
struct Proposal {
  std::string answers_digest;
  std::vector<coordination::Section> sections;
};

/** The proposal of a generated file, or the failure to print. */
coordination::Result<Proposal, VerbResult> LoadProposal(
    const std::string& file);

/** Who asks, on what base, and how long to wait for it. */
struct ChangeOptions {
  PlatformOptions platform;
  std::int64_t base = 0;
  std::string author;
  std::string key_file;
  std::int64_t wait_s = 0;
};

/** Adds the options of a verb that changes the configuration. */
void AddChangeOptions(CLI::App& app, ChangeOptions& options);

/** Proposes on top of `history`: credential, base, commit, in force. */
VerbResult ApplyProposal(const ChangeOptions& options,
                         const History& history,
                         const Proposal& proposal);

}  // namespace peridotgate::operate

#endif  // OPERATE_PROPOSAL_H_
