// Reads a YAML settings file whole and reports every fault at once.
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

/** What is wrong with a settings file, and what to write instead. */
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

/** `address:port`; IPv6 addresses stand in brackets. */
std::string ToString(const Endpoint& endpoint);

/** The endpoint that `text` spells, or nothing. */
std::optional<Endpoint> ParseEndpoint(std::string_view text);

/**
 * Typed access to dotted keys. A wrong or missing value is noted as a fault
 * and a default returned, so that the caller reads on; `Finish` returns all
 * faults, unknown keys included.
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

  /** A required text that is not empty. */
  std::string String(std::string_view key);
  /** A text that may be left out. */
  std::string OptionalString(std::string_view key, std::string_view fallback);
  /** A whole number within [least, most]; `fallback` when left out. */
  std::int64_t Integer(std::string_view key,
                       std::int64_t least,
                       std::int64_t most,
                       std::int64_t fallback);
  /** A number within [least, most]; `fallback` when left out. */
  double Decimal(std::string_view key,
                 double least,
                 double most,
                 double fallback);
  /** A number of milliseconds within [least, most]. */
  std::chrono::milliseconds Millis(std::string_view key,
                                   std::int64_t least,
                                   std::int64_t most,
                                   std::int64_t fallback);
  /** A required IP:port. */
  Endpoint Address(std::string_view key);
  /** A list of IP:port; empty when left out. */
  std::vector<Endpoint> Addresses(std::string_view key);
  /** One of `choices`; `fallback` when left out. */
  std::string Choice(std::string_view key,
                     const std::vector<std::string>& choices,
                     std::string_view fallback);

  /** All faults, by line. */
  std::vector<SettingsFault> Finish();

 private:
  struct Contents;
  std::unique_ptr<Contents> contents_;
};

}  // namespace peridotgate::runtime

#endif  // RUNTIME_SETTINGS_READER_H_
