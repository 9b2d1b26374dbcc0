// Tests the formulas of the capacity page, and that the results on the page
// agree with its own slopes.
#include "bench/capacity_page.h"

#include <cmath>
#include <cstdlib>

#include <gtest/gtest.h>

#include "bench/capacity_arithmetic.h"
#include "runtime/settings_file.h"

namespace peridotgate::bench {
namespace {

std::string ReadPage() {
  const char* path = std::getenv("PERIDOTGATE_CAPACITY_PAGE");
  auto text = runtime::ReadFile(path == nullptr ? "" : path);
  EXPECT_TRUE(text.has_value());
  return text.value_or("");
}

std::vector<std::string> SplitSections(std::string_view page) {
  constexpr std::string_view kHeading = "\n### ";
  std::vector<std::string> sections;
  std::size_t start = page.find(kHeading);
  while (start != std::string_view::npos) {
    std::size_t end = page.find("\n##", start + 1);
    sections.emplace_back(page.substr(start + 1, end - start - 1));
    start = page.find(kHeading, start + 1);
  }
  return sections;
}

TEST(CapacityArithmetic, EvaluatesPrecedenceLogarithmsAndErrors) {
  NamedValues values;
  values.Add("entries", 430);
  values.Add("block_bytes", std::nullopt);
  FormulaError error{};
  {
    SCOPED_TRACE(
        "products bind more tightly than sums, parentheses override both");
    EXPECT_EQ(Evaluate("2 + 3 * (entries - 30) / 4", values, error), 302);
  }
  {
    SCOPED_TRACE("logarithms are natural");
    EXPECT_NEAR(*Evaluate("log(entries)", values, error), std::log(430), 1e-9);
  }
  {
    SCOPED_TRACE("a formula that uses an unmeasured name has no value");
    EXPECT_FALSE(Evaluate("2 * block_bytes", values, error));
    EXPECT_EQ(error, FormulaError::kNotMeasured);
  }
  {
    SCOPED_TRACE("unknown names and malformed formulas give their own errors");
    EXPECT_FALSE(Evaluate("agents", values, error));
    EXPECT_EQ(error, FormulaError::kUnknownName);
    EXPECT_FALSE(Evaluate("2 + * 3", values, error));
    EXPECT_EQ(error, FormulaError::kMalformed);
  }
}

TEST(CapacityPage, WrongValueAndVerdictAreRecomputed) {
  const std::string page =
      std::string(kSlopeHeader) +
      "\n| --- | --- | --- | --- | --- | --- |\n"
      "| block_bytes | 100 | B | 99 | 101 | 1 10 |\n\n" +
      std::string(kResultHeader) +
      "\n| --- | --- | --- | --- | --- | --- | --- |\n"
      "| memory | blocks | `1000 * block_bytes` | 7 | B | 50000 | holds |\n";
  const RecomputedPage recomputed = Recompute(page);
  EXPECT_TRUE(recomputed.errors.empty());
  EXPECT_NE(recomputed.text.find("| 100000 | B | 50000 | **misses** |"),
            std::string::npos);
}

TEST(CapacityPage, ResultsFromDesignValuesAreMarked) {
  const std::string page =
      std::string(kParameterHeader) +
      "\n| --- | --- | --- | --- |\n"
      "| fanout | 3 | peers | design value |\n"
      "| entries | 430 | | letter |\n\n" +
      std::string(kResultHeader) +
      "\n| --- | --- | --- | --- | --- | --- | --- |\n"
      "| pushes | news | `entries * fanout` | 0 | | 2000 | holds |\n"
      "| twice | from another row | `2 * pushes` | 0 | | 2000 | holds |\n"
      "| plain | from the letter | `entries` | 0 | | 2000 | holds |\n";
  const std::string text = Recompute(page).text;
  EXPECT_NE(text.find("| 1290 |  | 2000 | holds (design) |"),
            std::string::npos);
  EXPECT_NE(text.find("| 2580 |  | 2000 | **misses** (design) |"),
            std::string::npos);
  EXPECT_NE(text.find("| 430 |  | 2000 | holds |"), std::string::npos);
}

TEST(CapacityPage, PageMatchesItsRecomputedArithmetic) {
  const std::string page = ReadPage();
  const RecomputedPage recomputed = Recompute(page);
  for (const std::string& it : recomputed.errors) {
    ADD_FAILURE() << it;
  }
  EXPECT_EQ(recomputed.text, page)
      << "results on the page are out of date; update them with "
         "tools/bench capacity";
}

TEST(CapacityPage, EverySectionHasAllRequiredParts) {
  const auto sections = SplitSections(ReadPage());
  EXPECT_GE(sections.size(), 12U);
  for (const std::string& it : sections) {
    SCOPED_TRACE(it.substr(0, it.find('\n')));
    for (std::string_view part :
         {"state: ", "messages: ", "processor: ", "memory: "}) {
      EXPECT_NE(it.find(part), std::string::npos) << part;
    }
    EXPECT_NE(it.find("\nMechanism: "), std::string::npos);
    EXPECT_NE(it.find("\nFailures: "), std::string::npos);
    const bool misses = it.find("**misses**") != std::string::npos;
    const bool change = it.find("\nChange: ") != std::string::npos;
    EXPECT_TRUE(change || !misses)
        << "a section that misses its budget needs a 'Change:' line";
  }
}

}  // namespace
}  // namespace peridotgate::bench
