// The interactive questionnaire.
#ifndef OPERATE_SURVEY_H_
#define OPERATE_SURVEY_H_

#include <functional>
#include <iosfwd>
#include <optional>
#include <string>

#include "operate/answers.h"

namespace peridotgate::operate {

/** Generates a key; tests inject a known one. */
using MakeKey = std::function<std::string()>;

/**
 * Asks every question on `out` and reads the answers from `in`; repeats a
 * question after an invalid answer. New keys are shown once and only their
 * digests are stored. Returns nothing if the input ends early.
 */
std::optional<Answers> AskAnswers(std::istream& in,
                                  std::ostream& out,
                                  const MakeKey& make_key);

}  // namespace peridotgate::operate

#endif  // OPERATE_SURVEY_H_
