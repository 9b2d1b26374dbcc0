// Proposes a configuration and applies it on top of the one in force.
#ifndef OPERATE_PROPOSAL_H_
#define OPERATE_PROPOSAL_H_

#include <string>
#include <vector>

#include "operate/configuration.h"
#include "operate/verb.h"

namespace peridotgate::operate {

/** The proposed sections and the digest of the answers behind them. */
struct Proposal {
  std::string answers_digest;
  std::vector<coordination::Section> sections;
};

/** Loads a generated file, or returns the failure to print. */
coordination::Result<Proposal, VerbResult> LoadProposal(
    const std::string& file);

/** Options of verbs that change the configuration. */
struct ChangeOptions {
  PlatformOptions platform;
  std::int64_t base = 0;
  std::string author;
  std::string key_file;
  std::int64_t wait_s = 0;
};

/** Adds the options of a verb that changes the configuration. */
void AddChangeOptions(CLI::App& app, ChangeOptions& options);

/**
 * Checks the credential and the base version, commits the proposal and waits
 * until it is in force.
 */
VerbResult ApplyProposal(const ChangeOptions& options,
                         const History& history,
                         const Proposal& proposal);

}  // namespace peridotgate::operate

#endif  // OPERATE_PROPOSAL_H_
