// Detects dispatches that were made under an outdated configuration.
#ifndef AGENT_RULES_GATE_H_
#define AGENT_RULES_GATE_H_

#include <cstdint>
#include <string>
#include <unordered_map>

#include "coordination/configuration_follower.h"
#include "wire/codec.h"

namespace peridotgate::agent {

/**
 * Tracks for each organisation the newest version of its rules, from the local
 * configuration and from admitted dispatches. A dispatch under older rules is
 * stale; one under newer rules raises the version, so that no dispatch under
 * older rules runs after it.
 */
class RulesGate {
 public:
  /** `rules` must outlive the gate. */
  void Follow(const coordination::ConfigurationFollower& rules) {
    rules_ = &rules;
  }

  /** Whether the dispatch was made under older rules than the newest known. */
  bool IsStale(const wire::Dispatch& dispatch) const;

  /** Records the version of an admitted dispatch, which must not be stale. */
  void Admit(const wire::Dispatch& dispatch);

  /** The newest known version over all organisations. */
  std::int64_t version() const;

 private:
  std::int64_t NewestVersion(const std::string& organisation) const;

  const coordination::ConfigurationFollower* rules_ = nullptr;
  std::unordered_map<std::string, std::int64_t> admitted_versions_;
  std::int64_t newest_admitted_version_ = 0;
};

}  // namespace peridotgate::agent

#endif  // AGENT_RULES_GATE_H_
