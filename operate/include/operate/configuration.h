// The configuration in the platform's table, with its history.
#ifndef OPERATE_CONFIGURATION_H_
#define OPERATE_CONFIGURATION_H_

#include <cstdint>
#include <string>
#include <vector>

#include "coordination/configuration_follower.h"
#include "coordination/result.h"
#include "operate/answers.h"
#include "runtime/settings_reader.h"

namespace peridotgate::operate {

/** Why the configuration could not be read. */
enum class ReadError {
  kPlatform,  // The table could not be reached.
  kGap,       // A change is missing or unreadable.
};

/** The accepted changes that the table retains, oldest first. */
struct History {
  std::vector<coordination::Change> changes;
  // Sections from before `changes` that none of them replaced.
  std::int64_t base_version = 0;
  std::vector<coordination::Section> base;

  std::int64_t version() const {
    return changes.empty() ? base_version : changes.back().version;
  }
};

/**
 * Builds the history that leads to the sections `in_force`. The oldest changes
 * may no longer be retained.
 */
History MakeHistory(std::vector<coordination::Change> changes,
                    const std::vector<coordination::Section>& in_force);

/** Whether the retained changes give the full content at `version`. */
bool CanReconstruct(const History& history, std::int64_t version);

/** The rules in force at one version. */
struct RulesInForce {
  std::vector<wire::OrganisationRules> organisations;
  wire::FleetRules fleet;
};

/** Reads the changes that the table retains. */
coordination::Result<History, ReadError> ReadHistory(
    const runtime::Endpoint& table);

/** The sections in force at `version`, by name. */
std::vector<coordination::Section> SectionsAt(const History& history,
                                              std::int64_t version);

/** The retained change with this id, or null. */
const coordination::Change* FindChange(const History& history,
                                       const coordination::Id128& id);

/** Decodes `sections`; skips those that can't be decoded. */
RulesInForce ReadSections(const std::vector<coordination::Section>& sections);

/** The sections changed, added or removed between `from` and `to`. */
std::vector<coordination::Section> Difference(
    const std::vector<coordination::Section>& from,
    const std::vector<coordination::Section>& to);

/** Describes the differences in plain sentences, one per line. */
std::vector<std::string> Describe(const RulesInForce& from,
                                  const RulesInForce& to);

/** Describes who changed what, and when, after version `after`. */
std::vector<std::string> DescribeSince(const History& history,
                                       std::int64_t after);

/** Formats a Unix time, such as "2026-12-04 04:40:00 UTC". */
std::string FormatTime(std::int64_t at_ms);

}  // namespace peridotgate::operate

#endif  // OPERATE_CONFIGURATION_H_
