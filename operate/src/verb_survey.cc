// survey: generates a configuration from answers.
#include <fstream>
#include <iostream>
#include <memory>

#include <spdlog/fmt/fmt.h>

#include "operate/credential.h"
#include "operate/rules_file.h"
#include "operate/survey.h"
#include "operate/verb.h"
#include "runtime/digest.h"

namespace peridotgate::operate {
namespace {

struct SurveyOptions {
  std::string answers;
  std::string save;
  std::string out;
  bool new_key = false;
};

bool WriteFile(const std::string& path, const std::string& text) {
  std::ofstream file(path);
  file << text;
  file.close();
  return !file.fail();
}

VerbResult CannotWrite(const std::string& path) {
  return Fail(Exit::kBadInput,
              path + ": can't be written; name a file that can be");
}

VerbResult ShowNewKey() {
  const std::string key = NewKey();
  VerbResult result;
  result.lines = {"key, shown this once: " + key,
                  "digest for the answers: " + runtime::Sha256Hex(key)};
  result.json["key"] = key;
  result.json["digest"] = runtime::Sha256Hex(key);
  return result;
}

// Whether overwriting `path` would destroy hand-written text such as answers.
bool IsHandWritten(const std::string& path) {
  const auto text = LoadText(path);
  return text && !text.value().empty() && !IsGenerated(text.value());
}

VerbResult Generate(const SurveyOptions& options,
                    const std::string& file,
                    const std::string& text) {
  if (IsHandWritten(options.out)) {
    return Fail(Exit::kBadInput,
                options.out +
                    ": is not a generated file and is left as it is; name "
                    "another one with --out");
  }
  auto answers = ReadAnswers(file, text);
  if (!answers) {
    return Fail(Exit::kBadInput, answers.error().lines);
  }
  const std::string digest = runtime::Sha256Hex(text);
  if (!WriteFile(options.out, WriteRules(answers.value(), digest))) {
    return CannotWrite(options.out);
  }
  VerbResult result;
  result.lines = {
      fmt::format("{}: generated from the answers with the digest {}",
                  options.out, digest),
      fmt::format("next: peridotgate diff --rules {}", options.out)};
  result.json["out"] = options.out;
  result.json["answers_digest"] = digest;
  return result;
}

VerbResult AskInteractively(const SurveyOptions& options) {
  if (options.save.empty()) {
    return Fail(Exit::kBadInput,
                "name a file for the answers with --save-answers, or answer "
                "from one with --answers");
  }
  auto answers = AskAnswers(std::cin, std::cerr, NewKey);
  if (!answers) {
    return Fail(Exit::kBadInput,
                "the input ended before the last question; start again");
  }
  const std::string text = WriteAnswers(*answers);
  if (!WriteFile(options.save, text)) {
    return CannotWrite(options.save);
  }
  return Generate(options, options.save, text);
}

VerbResult Survey(const SurveyOptions& options) {
  if (options.new_key) {
    return ShowNewKey();
  }
  if (options.out.empty()) {
    return Fail(Exit::kBadInput, "name the file to generate with --out");
  }
  if (options.answers.empty()) {
    return AskInteractively(options);
  }
  auto text = LoadText(options.answers);
  if (!text) {
    return text.error();
  }
  return Generate(options, options.answers, text.value());
}

}  // namespace

void AddSurvey(CLI::App& app, RunVerb& run) {
  auto options = std::make_shared<SurveyOptions>();
  CLI::App* verb =
      app.add_subcommand("survey", "generate a configuration from answers");
  verb->add_option("--answers", options->answers,
                   "YAML answers; if left out, each question is asked");
  verb->add_option("--save-answers", options->save,
                   "file to save the interactive answers in");
  verb->add_option("--out", options->out, "the file to generate");
  verb->add_flag("--new-key", options->new_key, "only make a key and show it");
  verb->callback([=, &run] { run = [=] { return Survey(*options); }; });
}

}  // namespace peridotgate::operate
