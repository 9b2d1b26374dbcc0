#include "entry/rules_book.h"

namespace peridotgate::entry {

RulesBook::RulesBook(std::int64_t version,
                     std::span<const coordination::Section> sections)
    : version_(version) {
  for (const coordination::Section& it : sections) {
    if (it.name == kFleetSection) {
      auto fleet = wire::DecodeStruct<wire::FleetRules>(it.content);
      if (fleet) {
        fleet_ = std::move(fleet.value());
      }
      unreadable_sections_ += fleet ? 0 : 1;
      continue;
    }
    auto rules = wire::DecodeStruct<wire::OrganisationRules>(it.content);
    if (!rules) {
      ++unreadable_sections_;
      continue;
    }
    versions_[rules.value().name] = it.version;
    organisations_.push_back(
        std::make_unique<wire::OrganisationRules>(std::move(rules.value())));
  }
  for (const auto& it : organisations_) {
    for (const std::string& digest : it->key_digests) {
      by_key_[digest] = it.get();
    }
  }
}

const wire::OrganisationRules* RulesBook::FindByKey(
    std::string_view digest) const {
  auto it = by_key_.find(std::string(digest));
  return it == by_key_.end() ? nullptr : it->second;
}

std::int64_t RulesBook::VersionOf(
    const wire::OrganisationRules& organisation) const {
  auto it = versions_.find(organisation.name);
  return it == versions_.end() ? 0 : it->second;
}

const wire::KindRules* FindKind(const wire::OrganisationRules& organisation,
                                std::string_view kind) {
  const std::string_view wanted =
      kind.empty() ? std::string_view(organisation.default_kind) : kind;
  for (const wire::KindRules& it : organisation.kinds) {
    if (it.name == wanted) {
      return &it;
    }
  }
  return nullptr;
}

}  // namespace peridotgate::entry
