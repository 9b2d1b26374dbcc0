// Reads the tables of the capacity page and recomputes its results.
#ifndef TESTING_BENCH_CAPACITY_PAGE_H_
#define TESTING_BENCH_CAPACITY_PAGE_H_

#include <string>
#include <string_view>
#include <vector>

namespace peridotgate::bench {

/** Text of a cell whose slope was not measured. */
inline constexpr std::string_view kNotMeasured = "not measured";

/** Header lines that identify the tables of the page. */
inline constexpr std::string_view kParameterHeader =
    "| parameter | value | unit | from |";
inline constexpr std::string_view kSlopeHeader =
    "| slope | value | unit | least | most | sizes |";
inline constexpr std::string_view kResultHeader =
    "| name | what | arithmetic | value | unit | budget | verdict |";

/** A page with recomputed results, and the errors found in it. */
struct RecomputedPage {
  std::string text;
  std::vector<std::string> errors;  // One message each, with a line number.
};

/**
 * Recomputes the value and verdict of every result from its formula. Names must
 * be defined above their use.
 */
RecomputedPage Recompute(std::string_view page);

/** `page` with its table of slopes replaced by `table`. */
std::string ReplaceSlopes(std::string_view page, std::string_view table);

/**
 * Formats a value for the page: with four significant digits, or as an integer
 * from 1000 on.
 */
std::string FormatValue(double value);

}  // namespace peridotgate::bench

#endif  // TESTING_BENCH_CAPACITY_PAGE_H_
