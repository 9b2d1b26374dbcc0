#include "prove/rules_generator.h"

#include <fstream>
#include <sstream>

#include <spdlog/fmt/fmt.h>

namespace peridotgate::prove {
namespace {

constexpr std::chrono::milliseconds kPoll{20};
constexpr std::string_view kLongestWaitLine = "longest_wait: 3 s";
constexpr std::string_view kEngineLine = "- name: \"model:horn-1\"\n";

void ReplaceFirst(std::string& text,
                  std::string_view from,
                  const std::string& to) {
  const std::size_t at = text.find(from);
  if (at != std::string::npos) {
    text.replace(at, from.size(), to);
  }
}

std::string EditAnswers(const std::string& path,
                        const RulesOverrides& content) {
  std::ostringstream read;
  read << std::ifstream(path).rdbuf();
  std::string text = read.str();
  ReplaceFirst(text, kLongestWaitLine,
               fmt::format("longest_wait: {} ms", content.wait_ms));
  ReplaceFirst(text, kEngineLine,
               fmt::format("{}    weights_version: {}\n", kEngineLine,
                           content.weights_version));
  return text;
}

}  // namespace

asio::awaitable<std::string> GenerateRules(Run& run, RulesOverrides content) {
  const FleetOptions& options = run.fleet().options();
  const std::string stem = fmt::format(
      "{}/rules-{}-{}", options.work, content.wait_ms, content.weights_version);
  std::ofstream(stem + ".answers.yaml")
      << EditAnswers(options.answers, content);
  std::string rules = stem + ".yaml";
  Child survey({options.build + "/operate/peridotgate", "survey", "--answers",
                stem + ".answers.yaml", "--out", rules},
               stem + ".log");
  while (!survey.Ended()) {
    co_await run.Sleep(kPoll);
  }
  co_return rules;
}

}  // namespace peridotgate::prove
