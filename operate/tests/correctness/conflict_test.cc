// What the report on a change with a stale base says.
#include "operate/conflict.h"

#include <gtest/gtest.h>

#include "../sample_answers.h"

namespace peridotgate::operate {
namespace {

using Lines = std::vector<std::string>;
using Sections = std::vector<coordination::Section>;

constexpr std::string_view kSecond = R"(  - name: llano
    share: 40 %
    default_kind: quote
    keys: [3130f4c11db1c06f62d09532ea0d88235b1d4f868807b1be744d745000f336b1]
    kinds:
      - name: quote
        served_by: "model:horn-1"
        may_be_repeated: yes
        longest_wait: 7 s
        share: 100 %
        first_token_within: 1500 ms
operator_keys:)";

std::string Replaced(std::string text,
                     std::string_view from,
                     std::string_view to) {
  text.replace(text.find(from), from.size(), to);
  return text;
}

// Two organisations: brazos waits 5 s, llano 7 s.
std::string Base() {
  return Replaced(SampleWith("share: 100 %", "share: 60 %"),
                  "operator_keys:", kSecond);
}

Sections SectionsOf(const std::string& text) {
  return MakeSections(ReadAnswers("a.yaml", text).value());
}

// Version 1 is the base; version 2 is bob's.
History After(const std::string& bobs) {
  const Sections base = SectionsOf(Base());
  History history;
  history.changes.push_back({1, {1, 1}, "ana", 0, "x", base});
  history.changes.push_back(
      {2, {1, 2}, "bob", 60000, "y", Difference(base, SectionsOf(bobs))});
  return history;
}

TEST(Conflict, ReportsRemainingChangesAndWhatWouldBeUndone) {
  const std::string brazos_2s = Replaced(Base(), "5 s", "2 s");
  const std::string brazos_3s = Replaced(Base(), "5 s", "3 s");
  const std::string llano_9s = Replaced(Base(), "7 s", "9 s");
  {
    SCOPED_TRACE("the other changed something else");
    const Conflict it = MakeConflict(After(llano_9s), 1, SectionsOf(brazos_2s));
    EXPECT_EQ(it.remaining, Lines{"brazos: Quote may now wait 2 s, was 5 s"});
    EXPECT_TRUE(it.overlapping.empty());
    EXPECT_EQ(it.undone, Lines{"organisation/llano"});
    EXPECT_EQ(DescribeConflict(it).back(),
              "put what others changed into your answers, then \"survey\", "
              "\"diff\", and apply with --base 2");
  }
  {
    SCOPED_TRACE("the other changed the same otherwise");
    const Conflict it =
        MakeConflict(After(brazos_3s), 1, SectionsOf(brazos_2s));
    EXPECT_EQ(it.remaining, Lines{"brazos: Quote may now wait 2 s, was 3 s"});
    EXPECT_EQ(it.overlapping, Lines{"organisation/brazos"});
    EXPECT_TRUE(it.undone.empty());
  }
  {
    SCOPED_TRACE("the other changed the same in the same way");
    const Conflict it =
        MakeConflict(After(brazos_2s), 1, SectionsOf(brazos_2s));
    EXPECT_TRUE(it.remaining.empty());
    EXPECT_EQ(DescribeConflict(it).back(), "nothing is to be done");
  }
  {
    SCOPED_TRACE("the base itself, as revert asks for: not all done");
    const Conflict it = MakeConflict(After(llano_9s), 1, SectionsOf(Base()));
    EXPECT_EQ(it.undone, Lines{"organisation/llano"});
    EXPECT_EQ(DescribeConflict(it).back(),
              "to take that back, run the same command with --base 2; else "
              "nothing is to be done");
  }
  {
    SCOPED_TRACE("a base that is not kept");
    History history = After(llano_9s);
    history.base_version = 1;
    history.changes.erase(history.changes.begin());
    const Conflict it = MakeConflict(history, 0, SectionsOf(brazos_2s));
    EXPECT_FALSE(it.base_is_retained);
    EXPECT_NE(DescribeConflict(it).back().find("apply with --base 2"),
              std::string::npos);
  }
}

}  // namespace
}  // namespace peridotgate::operate
