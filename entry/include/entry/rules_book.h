// The configured rules of organisations and of the fleet, indexed for request
// handling.
#ifndef ENTRY_RULES_BOOK_H_
#define ENTRY_RULES_BOOK_H_

#include <cstdint>
#include <memory>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "coordination/configuration_follower.h"
#include "wire/codec.h"

namespace peridotgate::entry {

/** Section names of the configuration. */
inline constexpr std::string_view kOrganisationSection = "organisation/";
inline constexpr std::string_view kFleetSection = "fleet";

/**
 * An immutable snapshot of one version of the rules. Event-loop threads share
 * it by pointer.
 */
class RulesBook {
 public:
  RulesBook() = default;
  RulesBook(std::int64_t version,
            std::span<const coordination::Section> sections);

  /** The organisation whose API key has this SHA-256 digest, or null. */
  const wire::OrganisationRules* FindByKey(std::string_view digest) const;

  /** The version in which the rules of `organisation` last changed. */
  std::int64_t VersionOf(const wire::OrganisationRules& organisation) const;

  const wire::FleetRules& fleet() const { return fleet_; }
  std::int64_t version() const { return version_; }
  /** Number of sections that failed to decode and were skipped. */
  std::int64_t unreadable_sections() const { return unreadable_sections_; }

 private:
  std::int64_t version_ = 0;
  std::int64_t unreadable_sections_ = 0;
  wire::FleetRules fleet_;
  std::vector<std::unique_ptr<wire::OrganisationRules>> organisations_;
  std::unordered_map<std::string, const wire::OrganisationRules*> by_key_;
  std::unordered_map<std::string, std::int64_t> versions_;
};

/** The rules of `kind`, or of the default kind if `kind` is empty, or null. */
const wire::KindRules* FindKind(const wire::OrganisationRules& organisation,
                                std::string_view kind);

}  // namespace peridotgate::entry

#endif  // ENTRY_RULES_BOOK_H_
