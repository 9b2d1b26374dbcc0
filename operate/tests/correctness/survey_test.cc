#include "operate/survey.h"

#include <sstream>

#include <gtest/gtest.h>

#include "../sample_answers.h"
#include "operate/rules_file.h"
#include "runtime/digest.h"

namespace peridotgate::operate {
namespace {

std::string FixedKey() {
  return "fresh-key";
}

TEST(Survey, GeneratesAConfigurationForANewTeam) {
  std::istringstream in(
      "model:horn-1\nno\n\n\n100 ms\n"
      "yes\nservice:desk\nyes\n\n\n\n"
      "no\n"
      "brazos\n100 %\nquote\n"
      "2130f4c11db1c06f62d09532ea0d88235b1d4f868807b1be744d745000f336b1\n"
      "quote\nmodel:horn-1\nperhaps\nyes\n\n5 s\n60 %\n\n\n1500 ms\n\n\n"
      "order-placement\nservice:desk\nno\n\n5 s\n40 %\n\n\n\n\n\n"
      "\n");
  std::ostringstream out;
  auto answers = AskAnswers(in, out, FixedKey);
  ASSERT_TRUE(answers);
  {
    SCOPED_TRACE("a wrong answer is told at once and asked again");
    EXPECT_NE(out.str().find("expected yes or no"), std::string::npos);
  }
  {
    SCOPED_TRACE("the fresh key is shown once, its digest kept");
    EXPECT_NE(out.str().find("fresh-key"), std::string::npos);
    EXPECT_EQ(answers->operator_keys.at(0), runtime::Sha256Hex("fresh-key"));
    EXPECT_EQ(WriteAnswers(*answers).find("fresh-key"), std::string::npos);
  }
  {
    SCOPED_TRACE("it says the same as the answers from a file");
    auto file = ReadAnswers("a.yaml", std::string(kSampleAnswers)).value();
    file.operator_keys = answers->operator_keys;
    EXPECT_EQ(WriteAnswers(*answers), WriteAnswers(file));
  }
}

// One organisation with one kind, as a newcomer may first answer.
TEST(Survey, RepeatsQuestionsAfterContradictoryAnswers) {
  std::istringstream in(
      "model:horn-1\nno\n\n\n100 ms\n"
      "yes\nmodel:horn-1\nno\n\n\n\n"
      "service:desk\nyes\n\n\n\n"
      "no\n"
      "brazos\n100 %\nquotes\n\n"
      "quote\nmodel:horn-2\nyes\n\n5 s\n100 %\n\n\n\n\n\n"
      "quote\nmodel:horn-1\nno\nyes\n50 ms\n100 %\n\n\n\n\n\n"
      "quote\nmodel:horn-1\nyes\n\n5 s\n60 %\n\n\n\n\n\n"
      "quote\nmodel:horn-1\nyes\n\n5 s\n40 %\n\n\n\n\n\n"
      "order\nservice:desk\nno\n\n5 s\n50 %\n\n\n\n\n\n"
      "order\nservice:desk\nno\n\n5 s\n40 %\n\n\n\n\n\n"
      "quote\n"
      "\n");
  std::ostringstream out;
  int keys = 0;
  auto answers = AskAnswers(in, out, [&] { return std::to_string(++keys); });
  ASSERT_TRUE(answers) << out.str();
  for (const char* it :
       {"\"model:horn-1\" already; give this one another name",
        "served_by model:horn-2 is not among backend_servers",
        "answer second_attempt: no", "needs 100 ms when idle; allow more",
        "\"quote\" already; give this one another name",
        "a share of 50 % is more than the 40 % that are left",
        "\"quotes\" is not one of the kinds of brazos; name one of them"}) {
    EXPECT_NE(out.str().find(it), std::string::npos) << it;
  }
  EXPECT_TRUE(ReadAnswers("a.yaml", WriteAnswers(*answers)).has_value());
}

TEST(Survey, ReturnsNothingWhenInputEndsEarly) {
  std::istringstream in("model:horn-1\n");
  std::ostringstream out;
  EXPECT_FALSE(AskAnswers(in, out, FixedKey));
}

TEST(Survey, IsDeterministic) {
  const auto answers = ReadAnswers("a.yaml", std::string(kSampleAnswers));
  const std::string digest(64, '0');
  const std::string rules = WriteRules(answers.value(), digest);
  EXPECT_EQ(rules, WriteRules(answers.value(), digest));
  auto read = ReadRules("r.yaml", rules);
  ASSERT_TRUE(read);
  EXPECT_EQ(read.value().answers_digest, digest);
  EXPECT_EQ(WriteRules(read.value().answers, digest), rules);
}

}  // namespace
}  // namespace peridotgate::operate
