#include "bench/capacity_arithmetic.h"

#include <cctype>
#include <cmath>
#include <cstdlib>

namespace peridotgate::bench {
namespace {

// A recursive-descent parser and evaluator; stops at the first error.
class FormulaParser {
 public:
  FormulaParser(std::string_view text, const NamedValues& values)
      : text_(text), values_(values) {}

  std::optional<double> Parse(FormulaError& error) {
    const double value = ParseSum();
    if (!error_ && Peek() != '\0') {
      Fail(FormulaError::kMalformed);
    }
    if (error_) {
      error = *error_;
      return std::nullopt;
    }
    return value;
  }

 private:
  char Peek() {
    while (!text_.empty() && text_.front() == ' ') {
      text_.remove_prefix(1);
    }
    return text_.empty() ? '\0' : text_.front();
  }

  bool Consume(char expected) {
    if (Peek() != expected) {
      return false;
    }
    text_.remove_prefix(1);
    return true;
  }

  double Fail(FormulaError error) {
    if (!error_) {
      error_ = error;
    }
    text_ = {};
    return 0;
  }

  double ParseSum() {
    double value = ParseProduct();
    while (!error_) {
      if (Consume('+')) {
        value += ParseProduct();
      } else if (Consume('-')) {
        value -= ParseProduct();
      } else {
        break;
      }
    }
    return value;
  }

  double ParseProduct() {
    double value = ParseFactor();
    while (!error_) {
      if (Consume('*')) {
        value *= ParseFactor();
      } else if (Consume('/')) {
        value /= ParseFactor();
      } else {
        break;
      }
    }
    return value;
  }

  double ParseFactor() {
    const char next = Peek();
    if (Consume('(')) {
      const double value = ParseSum();
      return Consume(')') ? value : Fail(FormulaError::kMalformed);
    }
    if (Consume('-')) {
      return -ParseFactor();
    }
    if (std::isdigit(static_cast<unsigned char>(next)) != 0) {
      return ParseNumber();
    }
    if (std::isalpha(static_cast<unsigned char>(next)) != 0) {
      return ParseName();
    }
    return Fail(FormulaError::kMalformed);
  }

  double ParseNumber() {
    const std::string digits(text_);
    char* end = nullptr;
    const double value = std::strtod(digits.c_str(), &end);
    text_.remove_prefix(static_cast<std::size_t>(end - digits.c_str()));
    return value;
  }

  double ParseName() {
    std::size_t n = 0;
    while (n < text_.size() &&
           (std::isalnum(static_cast<unsigned char>(text_[n])) != 0 ||
            text_[n] == '_')) {
      ++n;
    }
    const std::string_view name = text_.substr(0, n);
    text_.remove_prefix(n);
    if (name == "log") {
      return std::log(ParseFactor());
    }
    FormulaError error{};
    const auto value = values_.Find(name, error);
    return value ? *value : Fail(error);
  }

  std::string_view text_;
  const NamedValues& values_;
  std::optional<FormulaError> error_;
};

}  // namespace

bool NamedValues::Add(std::string name, std::optional<double> value) {
  return values_.emplace(std::move(name), value).second;
}

std::optional<double> NamedValues::Find(std::string_view name,
                                        FormulaError& error) const {
  auto it = values_.find(name);
  if (it == values_.end()) {
    error = FormulaError::kUnknownName;
    return std::nullopt;
  }
  error = FormulaError::kNotMeasured;
  return it->second;
}

std::optional<double> Evaluate(std::string_view formula,
                               const NamedValues& values,
                               FormulaError& error) {
  return FormulaParser(formula, values).Parse(error);
}

}  // namespace peridotgate::bench
