#include "runtime/settings_reader.h"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <limits>
#include <set>

#include <spdlog/fmt/fmt.h>
#include <yaml-cpp/yaml.h>
#include <boost/asio/ip/address.hpp>

namespace peridotgate::runtime {
namespace {

// Larger doubles are not exact as integers.
constexpr double kMaxExactInteger = 9007199254740992.0;

std::optional<std::int64_t> ParseInteger(std::string_view text) {
  std::int64_t value = 0;
  auto parsed = std::from_chars(text.data(), text.data() + text.size(), value);
  if (parsed.ec != std::errc{} || parsed.ptr != text.data() + text.size()) {
    return std::nullopt;
  }
  return value;
}

std::optional<double> ParseNumber(std::string_view text) {
  double value = 0;
  auto parsed = std::from_chars(text.data(), text.data() + text.size(), value);
  if (parsed.ec != std::errc{} || parsed.ptr != text.data() + text.size() ||
      !std::isfinite(value)) {
    return std::nullopt;
  }
  return value;
}

int LineNumber(const YAML::Node& node) {
  return node.Mark().line + 1;
}

}  // namespace

std::string ToString(const SettingsFault& fault) {
  return fmt::format("{}:{}: {}: expected {}", fault.file, fault.line,
                     fault.key, fault.expected);
}

std::string ToString(const Endpoint& endpoint) {
  const bool v6 = endpoint.address.find(':') != std::string::npos;
  return v6 ? fmt::format("[{}]:{}", endpoint.address, endpoint.port)
            : fmt::format("{}:{}", endpoint.address, endpoint.port);
}

std::optional<Endpoint> ParseEndpoint(std::string_view text) {
  const std::size_t colon = text.rfind(':');
  if (colon == std::string_view::npos) {
    return std::nullopt;
  }
  std::string_view host = text.substr(0, colon);
  if (host.size() > 2 && host.front() == '[' && host.back() == ']') {
    host = host.substr(1, host.size() - 2);
  }
  auto port = ParseInteger(text.substr(colon + 1));
  boost::system::error_code ec;
  boost::asio::ip::make_address(std::string(host), ec);
  if (ec || !port || *port < 0 ||
      *port > std::numeric_limits<std::uint16_t>::max()) {
    return std::nullopt;
  }
  return Endpoint{std::string(host), static_cast<std::uint16_t>(*port)};
}

struct SettingsReader::Impl {
  std::string file;
  YAML::Node root;
  std::set<std::string> known_keys;
  std::vector<SettingsFault> faults;

  void AddFault(int line, std::string_view key, std::string expected) {
    faults.push_back({file, line, std::string(key), std::move(expected)});
  }

  // The node at a dotted key, or `nullopt`. Marks the key as known.
  std::optional<YAML::Node> Find(std::string_view key) {
    known_keys.insert(std::string(key));
    YAML::Node node = root;
    std::string_view rest = key;
    while (!rest.empty()) {
      const std::size_t dot = rest.find('.');
      const std::string segment(rest.substr(0, dot));
      rest = dot == std::string_view::npos ? "" : rest.substr(dot + 1);
      if (!node.IsMap() || !node[segment].IsDefined()) {
        return std::nullopt;
      }
      node.reset(node[segment]);
    }
    return node;
  }

  std::optional<std::string> Scalar(std::string_view key,
                                    std::string_view expected) {
    auto node = Find(key);
    if (!node || node->IsNull()) {
      return std::nullopt;
    }
    if (!node->IsScalar()) {
      AddFault(LineNumber(*node), key, std::string(expected));
      return std::nullopt;
    }
    return node->Scalar();
  }

  void ReportUnknownKeys(const YAML::Node& node, const std::string& prefix) {
    for (const auto& it : node) {
      const std::string key = prefix + it.first.Scalar();
      if (known_keys.contains(key)) {
        continue;
      }
      if (it.second.IsMap() && IsPrefixOfKnownKey(key + ".")) {
        ReportUnknownKeys(it.second, key + ".");
        continue;
      }
      AddFault(LineNumber(it.first), key,
               "a known key; remove it or correct its name");
    }
  }

  bool IsPrefixOfKnownKey(const std::string& prefix) const {
    auto it = known_keys.lower_bound(prefix);
    return it != known_keys.end() && it->starts_with(prefix);
  }
};

SettingsReader::SettingsReader(std::string file, const std::string& text)
    : impl_(std::make_unique<Impl>()) {
  impl_->file = std::move(file);
  try {
    impl_->root = YAML::Load(text);
  } catch (const YAML::Exception& e) {
    impl_->AddFault(e.mark.line + 1, "(file)", "valid YAML: " + e.msg);
  }
  if (!impl_->root.IsMap() && impl_->faults.empty()) {
    impl_->AddFault(1, "(file)", "a map of settings");
  }
}

SettingsReader::~SettingsReader() = default;

std::string SettingsReader::String(std::string_view key) {
  auto text = impl_->Scalar(key, "a string");
  if (!text || text->empty()) {
    impl_->AddFault(1, key, "a non-empty string; the key is required");
    return "";
  }
  return *text;
}

std::string SettingsReader::OptionalString(std::string_view key,
                                           std::string_view fallback) {
  return impl_->Scalar(key, "a string").value_or(std::string(fallback));
}

std::int64_t SettingsReader::Integer(std::string_view key,
                                     std::int64_t min_value,
                                     std::int64_t max_value,
                                     std::int64_t fallback) {
  const std::string expected =
      fmt::format("a whole number from {} to {}", min_value, max_value);
  auto text = impl_->Scalar(key, expected);
  if (!text) {
    return fallback;
  }
  auto value = ParseInteger(*text);
  if (!value) {
    // Some writers format every number as a decimal: 64.0 or 6.4e1.
    const auto number = ParseNumber(*text);
    const bool whole = number && std::trunc(*number) == *number &&
                       std::abs(*number) <= kMaxExactInteger;
    if (whole) {
      value = static_cast<std::int64_t>(*number);
    }
  }
  if (!value || *value < min_value || *value > max_value) {
    impl_->AddFault(LineNumber(*impl_->Find(key)), key, expected);
    return fallback;
  }
  return *value;
}

double SettingsReader::Decimal(std::string_view key,
                               double min_value,
                               double max_value,
                               double fallback) {
  const std::string expected =
      fmt::format("a number from {} to {}", min_value, max_value);
  auto text = impl_->Scalar(key, expected);
  if (!text) {
    return fallback;
  }
  const auto value = ParseNumber(*text);
  if (!value || *value < min_value || *value > max_value) {
    impl_->AddFault(LineNumber(*impl_->Find(key)), key, expected);
    return fallback;
  }
  return *value;
}

std::chrono::milliseconds SettingsReader::Millis(std::string_view key,
                                                 std::int64_t min_value,
                                                 std::int64_t max_value,
                                                 std::int64_t fallback,
                                                 Rounding rounding) {
  const double value =
      Decimal(key, static_cast<double>(min_value),
              static_cast<double>(max_value), static_cast<double>(fallback));
  const double whole =
      rounding == Rounding::kUp ? std::ceil(value) : std::floor(value);
  return std::chrono::milliseconds(static_cast<std::int64_t>(whole));
}

Endpoint SettingsReader::Address(std::string_view key) {
  const std::string expected = "IP:PORT, such as 127.0.0.1:8080";
  auto text = impl_->Scalar(key, expected);
  if (!text) {
    impl_->AddFault(1, key, expected + "; the key is required");
    return {};
  }
  auto endpoint = ParseEndpoint(*text);
  if (!endpoint) {
    impl_->AddFault(LineNumber(*impl_->Find(key)), key, expected);
    return {};
  }
  return *endpoint;
}

std::vector<Endpoint> SettingsReader::Addresses(std::string_view key) {
  std::vector<Endpoint> all;
  auto node = impl_->Find(key);
  if (!node) {
    return all;
  }
  if (!node->IsSequence()) {
    impl_->AddFault(LineNumber(*node), key, "a list of IP:PORT");
    return all;
  }
  for (const auto& it : *node) {
    auto endpoint = it.IsScalar() ? ParseEndpoint(it.Scalar()) : std::nullopt;
    if (!endpoint) {
      impl_->AddFault(LineNumber(it), key, "IP:PORT in each element");
      continue;
    }
    all.push_back(*endpoint);
  }
  return all;
}

std::string SettingsReader::Choice(std::string_view key,
                                   const std::vector<std::string>& choices,
                                   std::string_view fallback) {
  const std::string expected =
      fmt::format("one of {}", fmt::join(choices, ", "));
  auto text = impl_->Scalar(key, expected);
  if (!text) {
    return std::string(fallback);
  }
  if (std::find(choices.begin(), choices.end(), *text) == choices.end()) {
    impl_->AddFault(LineNumber(*impl_->Find(key)), key, expected);
    return std::string(fallback);
  }
  return *text;
}

std::vector<SettingsFault> SettingsReader::Finish() {
  if (impl_->root.IsMap()) {
    impl_->ReportUnknownKeys(impl_->root, "");
  }
  auto& faults = impl_->faults;
  std::stable_sort(faults.begin(), faults.end(),
                   [](const SettingsFault& a, const SettingsFault& b) {
                     return a.line < b.line;
                   });
  return faults;
}

}  // namespace peridotgate::runtime
