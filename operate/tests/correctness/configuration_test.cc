#include "operate/configuration.h"

#include <gtest/gtest.h>

#include "../sample_answers.h"

namespace peridotgate::operate {
namespace {

using Lines = std::vector<std::string>;
using Sections = std::vector<coordination::Section>;

Sections SectionsOf(const std::string& text) {
  return MakeSections(ReadAnswers("a.yaml", text).value());
}

Lines DescribeChange(const Sections& from, const Sections& to) {
  return Describe(ReadSections(from), ReadSections(to));
}

TEST(Configuration, DescribesChangesInPlainSentences) {
  const auto before = SectionsOf(std::string(kSampleAnswers));
  {
    SCOPED_TRACE("nothing changed");
    EXPECT_TRUE(DescribeChange(before, before).empty());
    EXPECT_TRUE(Difference(before, before).empty());
  }
  {
    SCOPED_TRACE("a wait");
    const auto after = SectionsOf(SampleWith("5 s", "2 s"));
    EXPECT_EQ(DescribeChange(before, after),
              Lines{"brazos: Quote may now wait 2 s, was 5 s"});
    EXPECT_EQ(Difference(before, after).size(), 1U);
  }
  {
    SCOPED_TRACE("whether it may be repeated");
    const auto after =
        SectionsOf(SampleWith("may_be_repeated: no", "may_be_repeated: yes"));
    EXPECT_EQ(DescribeChange(before, after),
              Lines{"brazos: Order placement may now be repeated"});
    EXPECT_EQ(DescribeChange(after, before),
              Lines{"brazos: Order placement may no longer be repeated"});
  }
  {
    SCOPED_TRACE("an organisation goes");
    const auto after = SectionsOf(SampleWith("name: brazos", "name: llano"));
    EXPECT_EQ(DescribeChange(before, after),
              (Lines{"llano is new, with 2 kind(s) of work",
                     "brazos is no longer served"}));
    EXPECT_EQ(Difference(before, after).size(), 2U);
  }
}

TEST(Configuration, ReconstructsEveryVersionOfItsHistory) {
  const auto first = SectionsOf(std::string(kSampleAnswers));
  const auto second = SectionsOf(SampleWith("5 s", "2 s"));
  History history;
  history.changes.push_back({1, {1, 1}, "ana", 0, "x", first});
  history.changes.push_back(
      {2, {1, 2}, "bob", 60000, "y", Difference(first, second)});
  {
    SCOPED_TRACE("an older content can be had again");
    EXPECT_TRUE(Difference(SectionsAt(history, 1), first).empty());
    EXPECT_TRUE(Difference(SectionsAt(history, 2), second).empty());
  }
  {
    SCOPED_TRACE("a late operator sees who changed what");
    EXPECT_EQ(DescribeSince(history, 1),
              (Lines{"version 2 by bob at 1970-01-01 00:01:00 UTC:",
                     "  brazos: Quote may now wait 2 s, was 5 s"}));
  }
}

TEST(Configuration, ReconstructsFromBaseWhenOldChangesAreGone) {
  // Versions 1 to 3 are gone: "old" was last replaced by one of them.
  const coordination::Section old{"organisation/old", "old", false};
  const coordination::Section before{"organisation/new", "before", false};
  const coordination::Section after{"organisation/new", "after", false};
  std::vector<coordination::Change> kept;
  kept.push_back({4, {1, 4}, "ana", 0, "x", {before}});
  kept.push_back({5, {1, 5}, "bob", 0, "y", {after}});
  const History history = MakeHistory(std::move(kept), {old, after});
  {
    SCOPED_TRACE("what is in force is whole");
    EXPECT_EQ(history.version(), 5);
    EXPECT_TRUE(Difference(SectionsAt(history, 5), {old, after}).empty());
  }
  {
    SCOPED_TRACE("so is a version whose sections are all kept");
    EXPECT_TRUE(CanReconstruct(history, 4));
    EXPECT_TRUE(Difference(SectionsAt(history, 4), {old, before}).empty());
  }
  {
    SCOPED_TRACE("one that lacks a section is not given out");
    EXPECT_FALSE(CanReconstruct(history, 3));
    EXPECT_FALSE(CanReconstruct(history, 2));
  }
}

}  // namespace
}  // namespace peridotgate::operate
