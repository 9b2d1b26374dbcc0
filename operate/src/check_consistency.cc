// Consistency checks between answers.
#include <cmath>
#include <set>

#include <spdlog/fmt/fmt.h>

#include "operate/answers.h"

namespace peridotgate::operate {
namespace {

constexpr double kFullShare = 100;
constexpr double kShareTolerance = 0.005;

using Faults = std::vector<std::string>;

const TargetAnswers* FindTarget(const Answers& answers,
                                const std::string& name) {
  for (const TargetAnswers& it : answers.targets) {
    if (it.name == name) {
      return &it;
    }
  }
  return nullptr;
}

template <class T>
void CheckShares(std::string_view whose,
                 const std::vector<T>& parts,
                 Faults& faults) {
  double sum = 0;
  for (const T& it : parts) {
    sum += it.share;
  }
  if (std::abs(sum - kFullShare) > kShareTolerance) {
    faults.push_back(fmt::format(
        "the shares of {} add up to {:g} %; change them to add up to 100 %",
        whose, sum));
  }
}

template <class T>
void CheckUnique(std::string_view what,
                 const std::vector<T>& all,
                 Faults& faults) {
  std::set<std::string> seen;
  for (const T& it : all) {
    if (!seen.insert(it.name).second) {
      faults.push_back(fmt::format("{} \"{}\" stands twice; rename or drop one",
                                   what, it.name));
    }
  }
}

void CheckTimes(const std::string& who,
                const wire::KindRules& kind,
                const TargetAnswers& target,
                Faults& faults) {
  const std::int64_t fastest = target.fastest_answer_ms;
  if (kind.wait_limit_ms < fastest) {
    faults.push_back(fmt::format(
        "{}: longest_wait is {} ms, but {} needs {} ms when idle; allow more",
        who, kind.wait_limit_ms, target.name, fastest));
  }
  if (kind.first_token_objective_ms > 0 &&
      kind.first_token_objective_ms < fastest) {
    faults.push_back(
        fmt::format("{}: first_token_within is {} ms, but {} needs {} ms when "
                    "idle; allow more",
                    who, kind.first_token_objective_ms, target.name, fastest));
  }
}

void CheckOrganisation(const Answers& answers,
                       const wire::OrganisationRules& organisation,
                       Faults& faults) {
  bool has_default = false;
  for (const wire::KindRules& it : organisation.kinds) {
    has_default |= it.name == organisation.default_kind;
    for (std::string& fault : CheckKind(answers, organisation, it)) {
      faults.push_back(std::move(fault));
    }
  }
  if (!has_default) {
    faults.push_back(
        fmt::format("{}: default_kind {} is not one of its kinds; name one",
                    organisation.name, organisation.default_kind));
  }
  CheckUnique(fmt::format("{}: the kind", organisation.name),
              organisation.kinds, faults);
  CheckShares(fmt::format("the kinds of {}", organisation.name),
              organisation.kinds, faults);
}

void CheckKeys(const Answers& answers, Faults& faults) {
  std::set<std::string> seen(answers.operator_keys.begin(),
                             answers.operator_keys.end());
  for (const wire::OrganisationRules& it : answers.organisations) {
    for (const std::string& digest : it.key_digests) {
      if (!seen.insert(digest).second) {
        faults.push_back(
            fmt::format("{}: a key is also another's or an operator's; give "
                        "each its own key",
                        it.name));
      }
    }
  }
}

}  // namespace

std::vector<std::string> CheckKind(const Answers& answers,
                                   const wire::OrganisationRules& organisation,
                                   const wire::KindRules& kind) {
  Faults faults;
  const std::string who = fmt::format("{}/{}", organisation.name, kind.name);
  if (kind.second_attempt && !kind.repeatable) {
    faults.push_back(
        fmt::format("{}: may not be repeated, so a second attempt can't be "
                    "allowed; answer second_attempt: no",
                    who));
  }
  const TargetAnswers* target = FindTarget(answers, kind.target);
  if (target == nullptr) {
    faults.push_back(fmt::format(
        "{}: served_by {} is not among backend_servers; add it there", who,
        kind.target));
    return faults;
  }
  CheckTimes(who, kind, *target, faults);
  return faults;
}

std::vector<std::string> CheckConsistency(const Answers& answers) {
  Faults faults;
  CheckUnique("the group of backend servers", answers.targets, faults);
  CheckUnique("the organisation", answers.organisations, faults);
  CheckShares("the organisations", answers.organisations, faults);
  for (const wire::OrganisationRules& it : answers.organisations) {
    CheckOrganisation(answers, it, faults);
  }
  CheckKeys(answers, faults);
  return faults;
}

}  // namespace peridotgate::operate
