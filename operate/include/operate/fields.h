// The questionnaire as tables: each field with its key, type, bounds, default,
// question, explanation and the phrase that describes a change of it.
#ifndef OPERATE_FIELDS_H_
#define OPERATE_FIELDS_H_

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "wire/codec.h"

namespace peridotgate::operate {

/** The type of a field, which sets its text format. */
enum class FieldType {
  kYesNo,
  kWholeNumber,
  kDuration,  // Stored in milliseconds; written "2 s", "500 ms" or "1 min".
  kPercent,   // Stored and written as a percentage.
  kRatio,     // Stored as a fraction, written as a percentage.
  kName,      // Lower-case letters, digits and hyphens.
  kTarget,    // "model:NAME" or "service:NAME".
};

/** The value of one field. */
using Value = std::variant<bool, std::int64_t, double, std::string>;

/** Pointer to the member of `T` that a field sets. */
template <class T>
using Member =
    std::variant<bool T::*, std::int64_t T::*, double T::*, std::string T::*>;

/** One field of the questionnaire. */
template <class T>
struct Field {
  std::string_view key;
  Member<T> member;
  FieldType type;
  double min_value;
  double max_value;
  std::string_view default_text;  // Empty if the field is required.
  std::string_view question;
  std::string_view explanation;
  std::string_view change_text;      // Precedes the new value: "may now wait".
  std::string_view change_text_off;  // For kYesNo: the phrase for "no".
};

/** The answers about a group of backend servers. */
struct TargetAnswers {
  std::string name;
  bool checks_fencing_token = false;
  std::int64_t weights_version = 0;
  std::int64_t max_loads = 0;
  std::int64_t fastest_answer_ms = 0;
};

/** A value, or an error that says what was expected. */
struct ParsedValue {
  std::optional<Value> value;
  std::string fault;
};

ParsedValue ParseValue(FieldType type,
                       double min_value,
                       double max_value,
                       std::string_view text);

/** Formats a value so that `ParseValue` can read it back. */
std::string FormatValue(FieldType type, const Value& value);

/** Whether `text` is a SHA-256 as 64 lower-case hexadecimal digits. */
bool IsDigest(std::string_view text);

std::span<const Field<wire::KindRules>> KindFields();
std::span<const Field<wire::OrganisationRules>> OrganisationFields();
std::span<const Field<TargetAnswers>> TargetFields();

/** The value of `field` in `from`. */
template <class T>
Value Get(const Field<T>& field, const T& from) {
  return std::visit([&](auto member) { return Value(from.*member); },
                    field.member);
}

/** Parses `text` into `field` of `into`; returns an error message if invalid.
 */
template <class T>
std::optional<std::string> Set(const Field<T>& field,
                               std::string_view text,
                               T& into) {
  ParsedValue parsed =
      ParseValue(field.type, field.min_value, field.max_value, text);
  if (!parsed.value) {
    return parsed.fault;
  }
  std::visit(
      [&](auto member) {
        auto& slot = into.*member;
        slot = std::get<std::remove_reference_t<decltype(slot)>>(*parsed.value);
      },
      field.member);
  return std::nullopt;
}

/** The value of `field` in `from` as text. */
template <class T>
std::string Format(const Field<T>& field, const T& from) {
  return FormatValue(field.type, Get(field, from));
}

}  // namespace peridotgate::operate

#endif  // OPERATE_FIELDS_H_
