// Reads a YAML settings file and reports all of its faults at once.
#ifndef RUNTIME_SETTINGS_READER_H_
#define RUNTIME_SETTINGS_READER_H_

#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace peridotgate::runtime {

/** An invalid setting: where it is and what was expected instead. */
struct SettingsFault {
  std::string file;
  int line = 0;
  std::string key;
  std::string expected;
};

/** "FILE:LINE: KEY: expected ..." */
std::string ToString(const SettingsFault& fault);

/** An IP address and port. */
struct Endpoint {
  std::string address;
  std::uint16_t port = 0;
  bool operator==(const Endpoint&) const = default;
};

/** Formats as `address:port`, with IPv6 addresses in brackets. */
std::string ToString(const Endpoint& endpoint);

/** Parses `address:port`; returns `nullopt` when `text` is invalid. */
std::optional<Endpoint> ParseEndpoint(std::string_view text);

/** How a fraction of a unit is rounded. */
enum class Rounding { kDown, kUp };

/**
 * Typed access to settings by dotted key. An invalid or missing value is
 * recorded as a fault and replaced by a default, so that the caller can go on
 * reading. `Finish` returns all faults, including unknown keys. A key without a
 * value (`slack:`) counts as absent. Numbers may be written with a fraction or
 * an exponent.
 *
 *     SettingsReader reader("entry.yaml", text);
 *     settings.instance = reader.String("instance");
 *     settings.callers = reader.Address("listen.callers");
 *     std::vector<SettingsFault> faults = reader.Finish();
 */
class SettingsReader {
 public:
  SettingsReader(std::string file, const std::string& text);
  ~SettingsReader();

  /** A required, non-empty string. */
  std::string String(std::string_view key);
  /** A string; `fallback` when absent. */
  std::string OptionalString(std::string_view key, std::string_view fallback);
  /** A count in [min_value, max_value], so without a fraction other than zero;
   * `fallback` when absent. */
  std::int64_t Integer(std::string_view key,
                       std::int64_t min_value,
                       std::int64_t max_value,
                       std::int64_t fallback);
  /** A number in [min_value, max_value]; `fallback` when absent. */
  double Decimal(std::string_view key,
                 double min_value,
                 double max_value,
                 double fallback);
  /** Milliseconds in [min_value, max_value], rounded to whole ones; `fallback`
   * when absent. */
  std::chrono::milliseconds Millis(std::string_view key,
                                   std::int64_t min_value,
                                   std::int64_t max_value,
                                   std::int64_t fallback,
                                   Rounding rounding = Rounding::kDown);
  /** A required `IP:port`. */
  Endpoint Address(std::string_view key);
  /** A list of `IP:port`; empty when absent. */
  std::vector<Endpoint> Addresses(std::string_view key);
  /** One of `choices`; `fallback` when absent. */
  std::string Choice(std::string_view key,
                     const std::vector<std::string>& choices,
                     std::string_view fallback);

  /** Checks for unknown keys and returns all faults, sorted by line. */
  std::vector<SettingsFault> Finish();

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace peridotgate::runtime

#endif  // RUNTIME_SETTINGS_READER_H_
