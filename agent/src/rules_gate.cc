#include "rules_gate.h"

#include <algorithm>

#include "coordination/check.h"

namespace peridotgate::agent {
namespace {

constexpr std::string_view kOrganisationSection = "organisation/";

}  // namespace

std::int64_t RulesGate::NewestVersion(const std::string& organisation) const {
  auto it = admitted_versions_.find(organisation);
  const std::int64_t admitted = it == admitted_versions_.end() ? 0 : it->second;
  if (rules_ == nullptr) {
    return admitted;
  }
  const std::string section = std::string(kOrganisationSection) + organisation;
  return std::max(admitted, rules_->SectionVersion(section));
}

bool RulesGate::IsStale(const wire::Dispatch& dispatch) const {
  return dispatch.config_version < NewestVersion(dispatch.organisation);
}

void RulesGate::Admit(const wire::Dispatch& dispatch) {
  PG_CHECK(!IsStale(dispatch));
  admitted_versions_[dispatch.organisation] = dispatch.config_version;
  newest_admitted_version_ =
      std::max(newest_admitted_version_, dispatch.config_version);
}

std::int64_t RulesGate::version() const {
  return std::max(newest_admitted_version_,
                  rules_ == nullptr ? 0 : rules_->version());
}

}  // namespace peridotgate::agent
