// Evaluates the formulas of the capacity page over named values.
#ifndef TESTING_BENCH_CAPACITY_ARITHMETIC_H_
#define TESTING_BENCH_CAPACITY_ARITHMETIC_H_

#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace peridotgate::bench {

/** Why a formula has no value. */
enum class FormulaError {
  kMalformed,
  kUnknownName,
  kNotMeasured,  // It uses a name without a value.
};

/** Named values; a name that was not measured has no value. */
class NamedValues {
 public:
  /** False when the name is already defined. */
  bool Add(std::string name, std::optional<double> value);

  /** The value of `name`; sets `error` when there is none. */
  std::optional<double> Find(std::string_view name, FormulaError& error) const;

 private:
  std::map<std::string, std::optional<double>, std::less<>> values_;
};

/**
 * Evaluates `formula`, made of numbers, names, + - * /, parentheses and `log`,
 * the natural logarithm. Returns nothing and sets `error` on failure.
 */
std::optional<double> Evaluate(std::string_view formula,
                               const NamedValues& values,
                               FormulaError& error);

}  // namespace peridotgate::bench

#endif  // TESTING_BENCH_CAPACITY_ARITHMETIC_H_
