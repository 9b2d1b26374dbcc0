#include "operate/rules_file.h"

#include <spdlog/fmt/fmt.h>
#include <yaml-cpp/yaml.h>

#include "entry/rules_book.h"
#include "wire/codec.h"

namespace peridotgate::operate {
namespace {

wire::KindRules ReadKind(const YAML::Node& node) {
  wire::KindRules it;
  it.name = node["name"].as<std::string>();
  it.repeatable = node["repeatable"].as<bool>();
  it.wait_limit_ms = node["wait_limit_ms"].as<std::int64_t>();
  it.share = node["share"].as<double>(1);
  it.target = node["target"].as<std::string>();
  it.second_attempt = node["second_attempt"].as<bool>(false);
  it.prompt_tokens = node["prompt_tokens"].as<std::int64_t>(0);
  it.output_tokens = node["output_tokens"].as<std::int64_t>(0);
  it.first_token_objective_ms =
      node["first_token_objective_ms"].as<std::int64_t>(0);
  it.token_gap_objective_ms =
      node["token_gap_objective_ms"].as<std::int64_t>(0);
  it.objective_ratio = node["objective_ratio"].as<double>(0);
  return it;
}

wire::OrganisationRules ReadOrganisation(const YAML::Node& node) {
  wire::OrganisationRules it;
  it.name = node["name"].as<std::string>();
  it.share = node["share"].as<double>();
  it.default_kind = node["default_kind"].as<std::string>();
  it.key_digests = node["key_digests"].as<std::vector<std::string>>();
  for (const auto& kind : node["kinds"]) {
    it.kinds.push_back(ReadKind(kind));
  }
  return it;
}

wire::FleetRules ReadFleet(const YAML::Node& node) {
  wire::FleetRules it;
  for (const auto& target : node["targets"]) {
    wire::TargetRules rules;
    rules.name = target["name"].as<std::string>();
    rules.engine = target["engine"].as<bool>(true);
    rules.checks_fencing_token = target["checks_fencing_token"].as<bool>(false);
    rules.weights_version = target["weights_version"].as<std::int64_t>(0);
    rules.max_loads = target["max_loads"].as<std::int64_t>(2);
    it.targets.push_back(rules);
  }
  return it;
}

}  // namespace

coordination::Result<std::vector<coordination::Section>, RulesFaults> ReadRules(
    const std::string& file,
    const std::string& text) {
  std::vector<coordination::Section> sections;
  try {
    const YAML::Node root = YAML::Load(text);
    for (const auto& node : root["organisations"]) {
      const wire::OrganisationRules rules = ReadOrganisation(node);
      sections.push_back({std::string(entry::kOrganisationSection) + rules.name,
                          wire::EncodeStruct(rules), false});
    }
    sections.push_back({std::string(entry::kFleetSection),
                        wire::EncodeStruct(ReadFleet(root["fleet"])), false});
  } catch (const YAML::Exception& e) {
    return RulesFaults{
        {fmt::format("{}:{}: {}", file, e.mark.line + 1, e.msg)}};
  }
  return sections;
}

}  // namespace peridotgate::operate
