#include "operate/fields.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>

#include <spdlog/fmt/fmt.h>

namespace peridotgate::operate {
namespace {

using wire::KindRules;
using wire::OrganisationRules;

constexpr std::size_t kDigestDigits = 64;
constexpr std::size_t kMaxNameBytes = 64;
constexpr double kPercentPerOne = 100;
constexpr double kMaxTokens = 2e6;
constexpr double kMaxWaitMs = 600000;
constexpr double kMinWaitMs = 10;
constexpr double kMaxWeightsVersion = 1e12;
constexpr double kMaxLoads = 64;

struct Unit {
  std::string_view name;
  double ms;
};

constexpr std::array<Unit, 3> kUnits = {{{"ms", 1}, {"s", 1e3}, {"min", 6e4}}};

struct Number {
  double value = 0;
  std::string_view unit;  // Text after the digits.
};

std::string_view Trim(std::string_view text) {
  const std::size_t first = text.find_first_not_of(" \t\r");
  if (first == std::string_view::npos) {
    return {};
  }
  return text.substr(first, text.find_last_not_of(" \t\r") - first + 1);
}

std::optional<Number> ParseNumber(std::string_view text) {
  Number number;
  const char* end = text.data() + text.size();
  auto read = std::from_chars(text.data(), end, number.value);
  if (read.ec != std::errc{} || !std::isfinite(number.value)) {
    return std::nullopt;
  }
  number.unit = Trim({read.ptr, static_cast<std::size_t>(end - read.ptr)});
  return number;
}

std::string FormatDuration(std::int64_t ms) {
  const auto value = static_cast<double>(ms);
  if (value >= kUnits[1].ms) {
    return fmt::format("{:g} s", value / kUnits[1].ms);
  }
  return fmt::format("{} ms", ms);
}

std::string FormatPercent(double percent) {
  return fmt::format("{:.6g} %", percent);
}

ParsedValue Fault(std::string text) {
  return {std::nullopt, std::move(text)};
}

bool Within(double value, double min_value, double max_value) {
  return value >= min_value && value <= max_value;
}

ParsedValue ParseYesNo(std::string_view text) {
  if (text == "yes" || text == "true") {
    return {Value(true), ""};
  }
  if (text == "no" || text == "false") {
    return {Value(false), ""};
  }
  return Fault("expected yes or no");
}

ParsedValue ParseWhole(double min_value,
                       double max_value,
                       std::string_view text) {
  auto number = ParseNumber(text);
  if (!number || !number->unit.empty() ||
      number->value != std::floor(number->value) ||
      !Within(number->value, min_value, max_value)) {
    return Fault(fmt::format("expected a whole number from {:.0f} to {:.0f}",
                             min_value, max_value));
  }
  return {Value(static_cast<std::int64_t>(number->value)), ""};
}

ParsedValue ParseDuration(double min_value,
                          double max_value,
                          std::string_view text) {
  auto number = ParseNumber(text);
  const auto unit = std::find_if(
      kUnits.begin(), kUnits.end(),
      [&](const Unit& it) { return number && it.name == number->unit; });
  if (unit == kUnits.end() ||
      !Within(number->value * unit->ms, min_value, max_value)) {
    return Fault(
        fmt::format("expected a time from {} to {}, such as \"500 ms\", "
                    "\"2 s\" or \"1 min\"",
                    FormatDuration(static_cast<std::int64_t>(min_value)),
                    FormatDuration(static_cast<std::int64_t>(max_value))));
  }
  return {Value(static_cast<std::int64_t>(number->value * unit->ms)), ""};
}

ParsedValue ParsePercent(double min_value,
                         double max_value,
                         std::string_view text) {
  auto number = ParseNumber(text);
  if (!number || (number->unit != "%" && !number->unit.empty()) ||
      !Within(number->value, min_value, max_value)) {
    return Fault(
        fmt::format("expected a percentage from {:g} to {:g}, such as "
                    "\"25 %\"",
                    min_value, max_value));
  }
  return {Value(number->value), ""};
}

bool IsName(std::string_view text) {
  constexpr std::string_view kAllowed = "abcdefghijklmnopqrstuvwxyz0123456789-";
  return !text.empty() && text.size() <= kMaxNameBytes &&
         text.find_first_not_of(kAllowed) == std::string_view::npos;
}

ParsedValue ParseName(std::string_view text) {
  if (!IsName(text)) {
    return Fault(
        fmt::format("expected a name of at most {} lower-case letters, digits "
                    "and hyphens, such as \"order-placement\"",
                    kMaxNameBytes));
  }
  return {Value(std::string(text)), ""};
}

ParsedValue ParseTarget(std::string_view text) {
  const std::size_t colon = text.find(':');
  const std::string_view scheme = text.substr(0, colon);
  if (colon == std::string_view::npos ||
      (scheme != "model" && scheme != "service") ||
      !IsName(text.substr(colon + 1))) {
    return Fault(
        "expected \"model:NAME\" or \"service:NAME\", the name of lower-case "
        "letters, digits and hyphens, such as \"model:horn-1\"");
  }
  return {Value(std::string(text)), ""};
}

constexpr std::array<Field<OrganisationRules>, 3> kOrganisationFields = {{
    {"name", &OrganisationRules::name, FieldType::kName, 0, 0, "",
     "What is the organisation called?",
     "One of those that you owe equal treatment. The name stands in reports.",
     "", ""},
    {"share", &OrganisationRules::share, FieldType::kPercent, 0.01, 100, "",
     "Which share of the shared engines is it owed?",
     "Used when there is more work than the engines can do. The shares of all "
     "organisations add up to 100 %.",
     "is now owed", ""},
    {"default_kind", &OrganisationRules::default_kind, FieldType::kName, 0, 0,
     "", "Which kind of work is meant when a request names none?",
     "The name of one of its kinds of work.", "now takes by default", ""},
}};

constexpr std::array<Field<KindRules>, 11> kKindFields = {{
    {"name", &KindRules::name, FieldType::kName, 0, 0, "",
     "What is this kind of work called?",
     "Callers name it in the header X-Peridotgate-Kind.", "", ""},
    {"served_by", &KindRules::target, FieldType::kTarget, 0, 0, "",
     "Which backend servers do it?",
     "\"model:NAME\" for engines, \"service:NAME\" for a plain service.",
     "is now served by", ""},
    {"may_be_repeated", &KindRules::repeatable, FieldType::kYesNo, 0, 0, "",
     "May it be done twice without harm?",
     "No for bookings, orders and bills: such work then runs at most once and "
     "each request must carry an Idempotency-Key.",
     "may now be repeated", "may no longer be repeated"},
    {"second_attempt", &KindRules::second_attempt, FieldType::kYesNo, 0, 0,
     "no", "May a second server be asked when the first one is slow?",
     "Shortens the longest waits and costs some work done twice; only for "
     "work that may be repeated.",
     "may now have a second attempt", "has no second attempt any more"},
    {"longest_wait", &KindRules::wait_limit_ms, FieldType::kDuration,
     kMinWaitMs, kMaxWaitMs, "", "How long may it wait before it is of no use?",
     "Work that can't begin within this time is refused at once as not run, "
     "so that the caller can decide.",
     "may now wait", ""},
    {"share", &KindRules::share, FieldType::kPercent, 0.01, 100, "",
     "Which share of its organisation's part is this kind owed?",
     "The shares of all kinds of an organisation add up to 100 %.",
     "is now owed", ""},
    {"usual_prompt_tokens", &KindRules::prompt_tokens, FieldType::kWholeNumber,
     0, kMaxTokens, "0", "How many tokens has its prompt usually?",
     "With the shared part. 0 for plain services. Long work is kept from "
     "blocking short work by this.",
     "now has a usual prompt (tokens) of", ""},
    {"usual_answer_tokens", &KindRules::output_tokens, FieldType::kWholeNumber,
     0, kMaxTokens, "0", "How many tokens has its answer usually?",
     "0 for plain services.", "now has a usual answer (tokens) of", ""},
    {"first_token_within", &KindRules::first_token_objective_ms,
     FieldType::kDuration, 0, kMaxWaitMs, "0 ms",
     "Within what time should the answer begin?",
     "The service-level objective for the time to first token; 0 ms for none.",
     "should now begin to answer within", ""},
    {"between_tokens_within", &KindRules::token_gap_objective_ms,
     FieldType::kDuration, 0, kMaxWaitMs, "0 ms",
     "What is the longest good time between tokens?",
     "The service-level objective for streams; 0 ms for none.",
     "should now take between tokens at most", ""},
    {"objective", &KindRules::objective_ratio, FieldType::kRatio, 50, 99.999,
     "99 %", "Which part of the requests must be good?",
     "Good: answered whole, and begun and streamed within the times above. The "
     "rest is the error budget that the burn report shows.",
     "now has the objective", ""},
}};

constexpr std::array<Field<TargetAnswers>, 5> kTargetFields = {{
    {"name", &TargetAnswers::name, FieldType::kTarget, 0, 0, "",
     "What are these backend servers called?",
     "\"model:NAME\" for engines that serve a model, \"service:NAME\" for a "
     "plain service.",
     "", ""},
    {"checks_fencing_token", &TargetAnswers::checks_fencing_token,
     FieldType::kYesNo, 0, 0, "",
     "Do they refuse an order that carries an old fencing token?",
     "If not, the agent beside each server guards the orders alone.",
     "now check fencing tokens", "do not check fencing tokens any more"},
    {"weights_version", &TargetAnswers::weights_version,
     FieldType::kWholeNumber, 0, kMaxWeightsVersion, "0",
     "Which version of the weights should they serve?",
     "0 leaves the version as it is.", "should now serve weights version", ""},
    {"most_loads_at_once", &TargetAnswers::max_loads, FieldType::kWholeNumber,
     1, kMaxLoads, "2", "How many of them may load weights at the same time?",
     "More than two at once make each load slower.", "may now load at once",
     ""},
    {"fastest_answer", &TargetAnswers::fastest_answer_ms, FieldType::kDuration,
     0, kMaxWaitMs, "0 ms",
     "How long does an idle server need to begin to answer?",
     "No wait and no objective can be below this.", "now begin to answer in",
     ""},
}};

}  // namespace

ParsedValue ParseValue(FieldType type,
                       double min_value,
                       double max_value,
                       std::string_view text) {
  const std::string_view it = Trim(text);
  switch (type) {
    case FieldType::kYesNo:
      return ParseYesNo(it);
    case FieldType::kWholeNumber:
      return ParseWhole(min_value, max_value, it);
    case FieldType::kDuration:
      return ParseDuration(min_value, max_value, it);
    case FieldType::kPercent:
      return ParsePercent(min_value, max_value, it);
    case FieldType::kRatio: {
      ParsedValue parsed = ParsePercent(min_value, max_value, it);
      if (parsed.value) {
        parsed.value = std::get<double>(*parsed.value) / kPercentPerOne;
      }
      return parsed;
    }
    case FieldType::kName:
      return ParseName(it);
    case FieldType::kTarget:
      return ParseTarget(it);
  }
  return Fault("unknown form");
}

std::string FormatValue(FieldType type, const Value& value) {
  switch (type) {
    case FieldType::kYesNo:
      return std::get<bool>(value) ? "yes" : "no";
    case FieldType::kWholeNumber:
      return std::to_string(std::get<std::int64_t>(value));
    case FieldType::kDuration:
      return FormatDuration(std::get<std::int64_t>(value));
    case FieldType::kPercent:
      return FormatPercent(std::get<double>(value));
    case FieldType::kRatio:
      return FormatPercent(std::get<double>(value) * kPercentPerOne);
    case FieldType::kName:
    case FieldType::kTarget:
      return std::get<std::string>(value);
  }
  return "";
}

bool IsDigest(std::string_view text) {
  return text.size() == kDigestDigits &&
         text.find_first_not_of("0123456789abcdef") == std::string_view::npos;
}

std::span<const Field<KindRules>> KindFields() {
  return kKindFields;
}

std::span<const Field<OrganisationRules>> OrganisationFields() {
  return kOrganisationFields;
}

std::span<const Field<TargetAnswers>> TargetFields() {
  return kTargetFields;
}

}  // namespace peridotgate::operate
