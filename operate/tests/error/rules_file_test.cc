#include "operate/rules_file.h"

#include <gtest/gtest.h>

#include "../sample_answers.h"

namespace peridotgate::operate {
namespace {

std::string Generated() {
  auto answers = ReadAnswers("a.yaml", std::string(kSampleAnswers));
  return WriteRules(answers.value(), std::string(64, 'a'));
}

TEST(RulesFile, RejectsEditedFiles) {
  const std::string good = Generated();
  ASSERT_TRUE(ReadRules("r.yaml", good));
  for (std::string_view part : {"5 s", "yes", "answers: a", "60 %"}) {
    SCOPED_TRACE("a hand changes " + std::string(part));
    std::string edited = good;
    edited[edited.find(part) + part.size() - 1] = 'b';
    auto read = ReadRules("r.yaml", edited);
    ASSERT_FALSE(read);
    EXPECT_NE(read.error().lines[0].find("was edited after it was generated"),
              std::string::npos);
  }
  SCOPED_TRACE("a hand adds a line");
  EXPECT_FALSE(ReadRules("r.yaml", good + "\n"));
}

TEST(RulesFile, RejectsHandWrittenFiles) {
  for (const std::string& text :
       {std::string(), std::string(kSampleAnswers),
        Generated().substr(0, Generated().find("# content:"))}) {
    auto read = ReadRules("r.yaml", text);
    ASSERT_FALSE(read);
    EXPECT_EQ(read.error().lines[0],
              "r.yaml: is not a generated file; name one that \"peridotgate "
              "survey --answers ANSWERS --out RULES\" made");
  }
}

}  // namespace
}  // namespace peridotgate::operate
