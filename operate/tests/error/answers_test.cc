#include "operate/answers.h"

#include <vector>

#include <gtest/gtest.h>

#include "../sample_answers.h"

namespace peridotgate::operate {
namespace {

/** An invalid answer and the expected error message. */
struct BadAnswer {
  std::string_view from;
  std::string_view to;
  std::string_view message;
};

class BadAnswers : public testing::TestWithParam<BadAnswer> {};

TEST_P(BadAnswers, AreReportedWithWhatToChange) {
  const BadAnswer& bad = GetParam();
  auto read = ReadAnswers("a.yaml", SampleWith(bad.from, bad.to));
  ASSERT_FALSE(read);
  ASSERT_EQ(read.error().lines.size(), 1U) << read.error().lines.at(1);
  EXPECT_EQ(read.error().lines[0], bad.message);
}

const std::vector<BadAnswer> kAtOnce = {
    {"longest_wait: 5 s", "longest_wait: soon",
     "a.yaml:16: longest_wait: expected a time from 10 ms to 600 s, such as "
     "\"500 ms\", \"2 s\" or \"1 min\""},
    {"longest_wait: 5 s", "longest_wait: 1 ms",
     "a.yaml:16: longest_wait: expected a time from 10 ms to 600 s, such as "
     "\"500 ms\", \"2 s\" or \"1 min\""},
    {"may_be_repeated: yes", "may_be_repeated: maybe",
     "a.yaml:15: may_be_repeated: expected yes or no"},
    {"share: 60 %", "share: 160 %",
     "a.yaml:17: share: expected a percentage from 0.01 to 100, such as "
     "\"25 %\""},
    {"name: quote", "name: Quote!",
     "a.yaml:13: name: expected a name of at most 64 lower-case letters, "
     "digits "
     "and hyphens, such as \"order-placement\""},
    {"served_by: \"model:horn-1\"", "served_by: horn-1",
     "a.yaml:14: served_by: expected \"model:NAME\" or \"service:NAME\", the "
     "name of lower-case letters, digits and hyphens, such as "
     "\"model:horn-1\""},
    {"        may_be_repeated: yes\n", "",
     "a.yaml:13: may_be_repeated: is missing; May it be done twice without "
     "harm?"},
    {"share: 100 %\n", "share: 100 %\n    colour: red\n",
     "a.yaml:10: colour: is not asked for; expected one of keys, kinds, name, "
     "share, default_kind"},
    {"keys: [2130f4", "keys: [xyz",
     "a.yaml:11: keys: expected the SHA-256 of a key, 64 hexadecimal digits; "
     "\"peridotgate survey --new-key\" makes a key"},
};

const std::vector<BadAnswer> kAcross = {
    {"share: 60 %", "share: 50 %",
     "a.yaml: the shares of the kinds of brazos add up to 90 %; change them to "
     "add up to 100 %"},
    {"share: 100 %", "share: 70 %",
     "a.yaml: the shares of the organisations add up to 70 %; change them to "
     "add up to 100 %"},
    {"may_be_repeated: no\n",
     "may_be_repeated: no\n        second_attempt: yes\n",
     "a.yaml: brazos/order-placement: may not be repeated, so a second attempt "
     "can't be allowed; answer second_attempt: no"},
    {"longest_wait: 5 s", "longest_wait: 50 ms",
     "a.yaml: brazos/quote: longest_wait is 50 ms, but model:horn-1 needs 100 "
     "ms when idle; allow more"},
    {"first_token_within: 1500 ms", "first_token_within: 20 ms",
     "a.yaml: brazos/quote: first_token_within is 20 ms, but model:horn-1 "
     "needs 100 ms when idle; allow more"},
    {"served_by: \"service:desk\"", "served_by: \"service:till\"",
     "a.yaml: brazos/order-placement: served_by service:till is not among "
     "backend_servers; add it there"},
    {"default_kind: quote", "default_kind: sorting",
     "a.yaml: brazos: default_kind sorting is not one of its kinds; name one"},
    {"name: order-placement", "name: quote",
     "a.yaml: brazos: the kind \"quote\" stands twice; rename or drop one"},
    {"[52b95b1e84d87c4db5e9d65d330d11aae414bdd4e064995bec8001b20f6dd696]",
     "[2130f4c11db1c06f62d09532ea0d88235b1d4f868807b1be744d745000f336b1]",
     "a.yaml: brazos: a key is also another's or an operator's; give each its "
     "own key"},
};

INSTANTIATE_TEST_SUITE_P(AtOnce, BadAnswers, testing::ValuesIn(kAtOnce));
INSTANTIATE_TEST_SUITE_P(Across, BadAnswers, testing::ValuesIn(kAcross));

TEST(Answers, ReportsAllFaultsAtOnce) {
  std::string text = SampleWith("longest_wait: 5 s", "longest_wait: 5");
  text.replace(text.find("share: 40 %"), 11, "share: lots");
  auto read = ReadAnswers("a.yaml", text);
  ASSERT_FALSE(read);
  EXPECT_EQ(read.error().lines.size(), 2U);
}

TEST(Answers, ReportsTheLineOfAYamlError) {
  auto read = ReadAnswers("a.yaml", "organisations: [\n");
  ASSERT_FALSE(read);
  EXPECT_TRUE(read.error().lines[0].starts_with("a.yaml:"));
}

}  // namespace
}  // namespace peridotgate::operate
