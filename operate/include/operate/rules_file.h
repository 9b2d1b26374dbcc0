// Generated rules files, which carry a digest of their content.
#ifndef OPERATE_RULES_FILE_H_
#define OPERATE_RULES_FILE_H_

#include <string>

#include "coordination/result.h"
#include "operate/answers.h"

namespace peridotgate::operate {

/** The parsed content of a generated file. */
struct RulesFile {
  std::string answers_digest;
  Answers answers;
};

/** Whether `text` was generated, even if it was edited since. */
bool IsGenerated(std::string_view text);

/** Writes a rules file; `answers_digest` is the digest of the answers' text. */
std::string WriteRules(const Answers& answers,
                       const std::string& answers_digest);

/** Parses a rules file; fails if it was edited after generation. */
coordination::Result<RulesFile, RulesFaults> ReadRules(const std::string& file,
                                                       const std::string& text);

}  // namespace peridotgate::operate

#endif  // OPERATE_RULES_FILE_H_
