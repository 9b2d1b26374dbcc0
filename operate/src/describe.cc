// Describes differences between rules in plain sentences.
#include <algorithm>
#include <cctype>

#include <spdlog/fmt/fmt.h>

#include "operate/configuration.h"

namespace peridotgate::operate {
namespace {

using Lines = std::vector<std::string>;
using wire::KindRules;
using wire::OrganisationRules;
using wire::TargetRules;

// Turns "order-placement" into "Order placement".
std::string Label(std::string name) {
  std::replace(name.begin(), name.end(), '-', ' ');
  if (!name.empty()) {
    name[0] = static_cast<char>(std::toupper(name[0]));
  }
  return name;
}

template <class T>
const T* FindNamed(const std::vector<T>& all, const std::string& name) {
  for (const T& it : all) {
    if (it.name == name) {
      return &it;
    }
  }
  return nullptr;
}

template <class T>
std::string Sentence(const std::string& who,
                     const Field<T>& field,
                     const T& from,
                     const T& to) {
  if (field.type == FieldType::kYesNo) {
    return fmt::format("{} {}", who,
                       std::get<bool>(Get(field, to)) ? field.change_text
                                                      : field.change_text_off);
  }
  return fmt::format("{} {} {}, was {}", who, field.change_text,
                     Format(field, to), Format(field, from));
}

template <class T>
void DescribeFields(const std::string& who,
                    std::span<const Field<T>> fields,
                    const T& from,
                    const T& to,
                    Lines& lines) {
  for (const Field<T>& it : fields) {
    if (!it.change_text.empty() && Get(it, from) != Get(it, to)) {
      lines.push_back(Sentence(who, it, from, to));
    }
  }
}

void DescribeKeys(const std::string& who,
                  const std::vector<std::string>& from,
                  const std::vector<std::string>& to,
                  Lines& lines) {
  auto missing = [](const auto& these, const auto& those) {
    return std::count_if(these.begin(), these.end(), [&](const auto& it) {
      return std::find(those.begin(), those.end(), it) == those.end();
    });
  };
  const auto added = missing(to, from);
  const auto removed = missing(from, to);
  if (added > 0) {
    lines.push_back(fmt::format("{}: {} key(s) added", who, added));
  }
  if (removed > 0) {
    lines.push_back(fmt::format("{}: {} key(s) withdrawn", who, removed));
  }
}

void DescribeKinds(const OrganisationRules& from,
                   const OrganisationRules& to,
                   Lines& lines) {
  for (const KindRules& it : to.kinds) {
    const std::string who = fmt::format("{}: {}", to.name, Label(it.name));
    const KindRules* before = FindNamed(from.kinds, it.name);
    if (before == nullptr) {
      lines.push_back(who + " is new");
      continue;
    }
    DescribeFields(who, KindFields(), *before, it, lines);
  }
  for (const KindRules& it : from.kinds) {
    if (FindNamed(to.kinds, it.name) == nullptr) {
      lines.push_back(
          fmt::format("{}: {} is no longer taken", to.name, Label(it.name)));
    }
  }
}

void DescribeOrganisations(const RulesInForce& from,
                           const RulesInForce& to,
                           Lines& lines) {
  for (const OrganisationRules& it : to.organisations) {
    const OrganisationRules* before = FindNamed(from.organisations, it.name);
    if (before == nullptr) {
      lines.push_back(fmt::format("{} is new, with {} kind(s) of work", it.name,
                                  it.kinds.size()));
      continue;
    }
    DescribeFields(it.name, OrganisationFields(), *before, it, lines);
    DescribeKeys(it.name, before->key_digests, it.key_digests, lines);
    DescribeKinds(*before, it, lines);
  }
  for (const OrganisationRules& it : from.organisations) {
    if (FindNamed(to.organisations, it.name) == nullptr) {
      lines.push_back(it.name + " is no longer served");
    }
  }
}

TargetAnswers ToAnswers(const TargetRules& it) {
  return {it.name, it.checks_fencing_token, it.weights_version, it.max_loads,
          0};
}

void DescribeFleet(const wire::FleetRules& from,
                   const wire::FleetRules& to,
                   Lines& lines) {
  for (const TargetRules& it : to.targets) {
    const TargetRules* before = FindNamed(from.targets, it.name);
    if (before == nullptr) {
      lines.push_back(it.name + " is a new group of backend servers");
      continue;
    }
    DescribeFields(it.name, TargetFields(), ToAnswers(*before), ToAnswers(it),
                   lines);
  }
  for (const TargetRules& it : from.targets) {
    if (FindNamed(to.targets, it.name) == nullptr) {
      lines.push_back(it.name + " is no longer a group of backend servers");
    }
  }
  DescribeKeys("operators", from.operator_key_digests, to.operator_key_digests,
               lines);
}

}  // namespace

std::vector<std::string> Describe(const RulesInForce& from,
                                  const RulesInForce& to) {
  Lines lines;
  DescribeOrganisations(from, to, lines);
  DescribeFleet(from.fleet, to.fleet, lines);
  return lines;
}

}  // namespace peridotgate::operate
