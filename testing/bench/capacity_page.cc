#include "bench/capacity_page.h"

#include <algorithm>
#include <cmath>
#include <optional>
#include <set>

#include <spdlog/fmt/fmt.h>

#include "bench/capacity_arithmetic.h"

namespace peridotgate::bench {
namespace {

constexpr std::string_view kNoBudget = "-";
// Origins of parameters that were neither measured nor given as a requirement.
constexpr std::string_view kDesignValue = "design value";
constexpr std::string_view kAssumption = "assumption";
constexpr double kMinRoundedToInteger = 1000;

// Columns of the table of results.
enum ResultColumn {
  kName,
  kWhat,
  kArithmetic,
  kValue,
  kUnit,
  kBudget,
  kVerdict
};
constexpr std::size_t kResultColumns = 7;
// The column with the origin of a parameter.
constexpr std::size_t kOrigin = 3;

enum class TableKind { kNone, kValues, kResults };

std::vector<std::string> SplitLines(std::string_view text) {
  std::vector<std::string> lines;
  while (!text.empty()) {
    const std::size_t end = text.find('\n');
    lines.emplace_back(text.substr(0, end));
    text = end == std::string_view::npos ? "" : text.substr(end + 1);
  }
  return lines;
}

std::string Trim(std::string_view text) {
  const std::size_t first = text.find_first_not_of(" `");
  if (first == std::string_view::npos) {
    return "";
  }
  const std::size_t last = text.find_last_not_of(" `");
  return std::string(text.substr(first, last - first + 1));
}

std::vector<std::string> SplitCells(std::string_view line) {
  std::vector<std::string> cells;
  line.remove_prefix(1);
  while (!line.empty()) {
    const std::size_t end = line.find('|');
    if (end == std::string_view::npos) {
      break;
    }
    cells.push_back(Trim(line.substr(0, end)));
    line.remove_prefix(end + 1);
  }
  return cells;
}

// All names used in a formula.
std::vector<std::string> NamesInFormula(std::string_view formula) {
  constexpr std::string_view kLetters = "abcdefghijklmnopqrstuvwxyz_";
  std::vector<std::string> names;
  std::size_t start = formula.find_first_of(kLetters);
  while (start != std::string_view::npos) {
    const std::size_t end = formula.find_first_not_of(kLetters, start);
    names.emplace_back(formula.substr(start, end - start));
    start = formula.find_first_of(kLetters, std::min(end, formula.size()));
  }
  return names;
}

TableKind TableKindOf(std::string_view header) {
  if (header == kParameterHeader || header == kSlopeHeader) {
    return TableKind::kValues;
  }
  return header == kResultHeader ? TableKind::kResults : TableKind::kNone;
}

// Reads the page line by line and collects the named values of its tables.
class PageReader {
 public:
  RecomputedPage Read(std::string_view page) {
    for (const std::string& it : SplitLines(page)) {
      ++line_;
      out_.text += ReadLine(it) + "\n";
    }
    return std::move(out_);
  }

 private:
  std::string ReadLine(const std::string& text) {
    if (!text.starts_with('|')) {
      kind_ = TableKind::kNone;
      return text;
    }
    if (kind_ == TableKind::kNone) {
      kind_ = TableKindOf(text);
      return text;
    }
    if (text.starts_with("| ---")) {
      return text;
    }
    if (kind_ == TableKind::kValues) {
      ReadValue(SplitCells(text));
      return text;
    }
    return RecomputeResult(text, SplitCells(text));
  }

  void AddError(std::string_view what) {
    out_.errors.push_back(fmt::format("line {}: {}", line_, what));
  }

  void Define(const std::string& name, std::optional<double> value) {
    if (!values_.Add(name, value)) {
      AddError(fmt::format("name {} is defined more than once", name));
    }
  }

  void ReadValue(const std::vector<std::string>& cells) {
    if (cells.size() < 2) {
      AddError("row has fewer than 2 columns; expected a name and a value");
      return;
    }
    Define(cells[0], Compute(cells[1]));
    if (cells.size() > kOrigin &&
        (cells[kOrigin] == kDesignValue || cells[kOrigin] == kAssumption)) {
      provisional_.insert(cells[0]);
    }
  }

  bool IsProvisional(std::string_view formula) const {
    const auto names = NamesInFormula(formula);
    return std::any_of(names.begin(), names.end(), [&](const auto& it) {
      return provisional_.contains(it);
    });
  }

  // Evaluates a formula. Adds an error if it fails for another reason than an
  // unmeasured value.
  std::optional<double> Compute(const std::string& formula) {
    if (formula == kNotMeasured) {
      return std::nullopt;
    }
    FormulaError error{};
    const auto value = Evaluate(formula, values_, error);
    if (!value && error != FormulaError::kNotMeasured) {
      AddError(fmt::format("can't evaluate formula {}", formula));
    }
    return value;
  }

  std::string RecomputeResult(const std::string& text,
                              std::vector<std::string> cells) {
    if (cells.size() != kResultColumns) {
      AddError(
          "row of the results table has the wrong number of columns; expected "
          "7");
      return text;
    }
    const auto value = Compute(cells[kArithmetic]);
    Define(cells[kName], value);
    cells[kValue] = value ? FormatValue(*value) : std::string(kNotMeasured);
    if (IsProvisional(cells[kArithmetic])) {
      provisional_.insert(cells[kName]);
    }
    cells[kVerdict] = VerdictFor(value, cells);
    return fmt::format("| {} | {} | `{}` | {} | {} | {} | {} |", cells[kName],
                       cells[kWhat], cells[kArithmetic], cells[kValue],
                       cells[kUnit], cells[kBudget], cells[kVerdict]);
  }

  std::string VerdictFor(std::optional<double> value,
                         const std::vector<std::string>& cells) {
    if (cells[kBudget] == kNoBudget) {
      return std::string(kNoBudget);
    }
    const auto limit = Compute(cells[kBudget]);
    if (!value || !limit) {
      return std::string(kNotMeasured);
    }
    const std::string_view verdict = *value <= *limit ? "holds" : "**misses**";
    const std::string_view basis =
        provisional_.contains(cells[kName]) ? " (design)" : "";
    return fmt::format("{}{}", verdict, basis);
  }

  RecomputedPage out_;
  NamedValues values_;
  std::set<std::string, std::less<>> provisional_;
  TableKind kind_ = TableKind::kNone;
  int line_ = 0;
};

}  // namespace

std::string FormatValue(double value) {
  if (std::abs(value) >= kMinRoundedToInteger) {
    return fmt::format("{:.0f}", value);
  }
  return fmt::format("{:.4g}", value);
}

RecomputedPage Recompute(std::string_view page) {
  return PageReader().Read(page);
}

std::string ReplaceSlopes(std::string_view page, std::string_view table) {
  std::string out;
  bool inside = false;
  for (const std::string& it : SplitLines(page)) {
    if (it == kSlopeHeader) {
      inside = true;
      out += table;
    }
    inside = inside && it.starts_with('|');
    if (!inside) {
      out += it + "\n";
    }
  }
  return out;
}

}  // namespace peridotgate::bench
