// The operators' answers to the questionnaire: parsing, validation,
// serialisation, and conversion to configuration sections.
#ifndef OPERATE_ANSWERS_H_
#define OPERATE_ANSWERS_H_

#include <string>
#include <vector>

#include "coordination/configuration_follower.h"
#include "coordination/result.h"
#include "operate/fields.h"

namespace peridotgate::operate {

/** Validation errors in answers or rules, one line per error. */
struct RulesFaults {
  std::vector<std::string> lines;
};

/** All answers of a deployment. */
struct Answers {
  std::vector<TargetAnswers> targets;
  std::vector<wire::OrganisationRules> organisations;
  std::vector<std::string> operator_keys;  // SHA-256 digests.
};

/**
 * Parses and validates `text`. On failure reports all errors, not just the
 * first; `file` is the name that they carry.
 */
coordination::Result<Answers, RulesFaults> ReadAnswers(const std::string& file,
                                                       const std::string& text);

/** Errors in `kind` itself or between it and its backend servers. */
std::vector<std::string> CheckKind(const Answers& answers,
                                   const wire::OrganisationRules& organisation,
                                   const wire::KindRules& kind);

/** Contradictions between answers, one line each. */
std::vector<std::string> CheckConsistency(const Answers& answers);

/** Serialises with defaults filled in; equal answers give equal text. */
std::string WriteAnswers(const Answers& answers);

/** Converts the answers to configuration sections. */
std::vector<coordination::Section> MakeSections(const Answers& answers);

}  // namespace peridotgate::operate

#endif  // OPERATE_ANSWERS_H_
