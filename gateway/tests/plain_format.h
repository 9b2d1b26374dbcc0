// A row format that tests can write by hand.
#ifndef GATEWAY_TESTS_PLAIN_FORMAT_H_
#define GATEWAY_TESTS_PLAIN_FORMAT_H_

#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

#include "gateway/fleet_source.h"

namespace peridotgate::gateway {

// Rules are a version number; a server is "ready", "leaving", or "2" for ready
// with weights version 2.
class PlainFormat : public FleetFormat {
 public:
  std::string_view operator_table() const override { return "rules"; }
  std::string_view server_table() const override { return "servers"; }
  bool IsRules(std::string_view key) const override { return key == "rules"; }
  std::shared_ptr<const Rules> ReadRules(std::string_view value,
                                         std::string& fault) const override {
    if (value == "broken") {
      fault = "unreadable";
      return nullptr;
    }
    RulesText text;
    text.version = std::stoi(std::string(value));
    return std::make_shared<Rules>(std::move(text));
  }
  std::optional<std::pair<std::string, std::int64_t>> ReadWeights(
      std::string_view key,
      std::string_view value) const override {
    return std::pair(std::string(key), std::stoll(std::string(value)));
  }
  std::optional<BackendServer> ReadServer(std::string_view key,
                                          std::string_view value,
                                          std::string& fault) const override {
    BackendServer server;
    server.id = key;
    if (value == "2") {
      server.weights["model"] = 2;
      return server;
    }
    // A state, and a sequence if need be.
    const std::string_view state = value.substr(0, value.find(' '));
    if (state != "ready" && state != "leaving") {
      fault = "unknown state";
      return std::nullopt;
    }
    server.leaving = state == "leaving";
    if (state.size() < value.size()) {
      server.sequence = std::stoll(std::string(value.substr(state.size())));
    }
    return server;
  }
};

}  // namespace peridotgate::gateway

#endif  // GATEWAY_TESTS_PLAIN_FORMAT_H_
