#include "operate/answers.h"

#include <algorithm>

#include <spdlog/fmt/fmt.h>
#include <yaml-cpp/yaml.h>

#include "entry/rules_book.h"

namespace peridotgate::operate {
namespace {

constexpr std::string_view kModel = "model:";

// Parses the nodes of one file and collects the errors.
class Reader {
 public:
  explicit Reader(const std::string& file) : file_(file) {}

  Answers Read(const YAML::Node& root) {
    Answers answers;
    CheckKeys(root, {"backend_servers", "organisations", "operator_keys"});
    for (const YAML::Node& it : List(root, "backend_servers")) {
      answers.targets.push_back(ReadFields(it, TargetFields(), {}));
    }
    for (const YAML::Node& it : List(root, "organisations")) {
      answers.organisations.push_back(ReadOrganisation(it));
    }
    answers.operator_keys = ReadDigests(root, "operator_keys");
    return answers;
  }

  std::vector<std::string> faults;

 private:
  void Fault(const YAML::Node& node, std::string_view key, std::string text) {
    faults.push_back(
        fmt::format("{}:{}: {}: {}", file_, node.Mark().line + 1, key, text));
  }

  void CheckKeys(const YAML::Node& node, std::vector<std::string_view> known) {
    if (!node.IsMap()) {
      Fault(node, "(here)", "expected keys with values");
      return;
    }
    for (const auto& it : node) {
      const auto key = it.first.as<std::string>("");
      if (std::find(known.begin(), known.end(), key) == known.end()) {
        Fault(it.first, key,
              fmt::format("is not asked for; expected one of {}",
                          fmt::join(known, ", ")));
      }
    }
  }

  std::vector<YAML::Node> List(const YAML::Node& node, const char* key) {
    const YAML::Node list = node.IsMap() ? node[key] : YAML::Node();
    std::vector<YAML::Node> all;
    if (!list.IsDefined() || !list.IsSequence() || list.size() == 0) {
      Fault(node, key, "expected a list of at least one");
      return all;
    }
    for (const auto& it : list) {
      all.push_back(it);
    }
    return all;
  }

  std::vector<std::string> ReadDigests(const YAML::Node& node,
                                       const char* key) {
    std::vector<std::string> digests;
    for (const YAML::Node& it : List(node, key)) {
      digests.push_back(it.as<std::string>(""));
      if (!IsDigest(digests.back())) {
        Fault(it, key,
              "expected the SHA-256 of a key, 64 hexadecimal digits; "
              "\"peridotgate survey --new-key\" makes a key");
      }
    }
    return digests;
  }

  wire::OrganisationRules ReadOrganisation(const YAML::Node& node) {
    auto it = ReadFields(node, OrganisationFields(), {"keys", "kinds"});
    it.key_digests = ReadDigests(node, "keys");
    for (const YAML::Node& kind : List(node, "kinds")) {
      it.kinds.push_back(ReadFields(kind, KindFields(), {}));
    }
    return it;
  }

  template <class T>
  T ReadFields(const YAML::Node& node,
               std::span<const Field<T>> fields,
               std::vector<std::string_view> known) {
    T into;
    for (const Field<T>& it : fields) {
      known.push_back(it.key);
    }
    CheckKeys(node, std::move(known));
    if (!node.IsMap()) {
      return into;
    }
    for (const Field<T>& it : fields) {
      ReadField(node, it, into);
    }
    return into;
  }

  template <class T>
  void ReadField(const YAML::Node& node, const Field<T>& field, T& into) {
    const YAML::Node value = node[std::string(field.key)];
    if (!value.IsDefined() && field.default_text.empty()) {
      Fault(node, field.key, fmt::format("is missing; {}", field.question));
      return;
    }
    const std::string text = value.IsDefined()
                                 ? value.as<std::string>("")
                                 : std::string(field.default_text);
    auto fault = Set(field, text, into);
    if (fault) {
      Fault(value.IsDefined() ? value : node, field.key, *fault);
    }
  }

  std::string file_;
};

// Writes a group of fields as a list item, the first with the dash.
template <class T>
void WriteFields(std::span<const Field<T>> fields,
                 const T& from,
                 std::string_view indent,
                 std::string& out) {
  std::string_view mark = "- ";
  for (const Field<T>& it : fields) {
    out +=
        fmt::format("{}{}{}: \"{}\"\n", indent, mark, it.key, Format(it, from));
    mark = "  ";
  }
}

void WriteDigests(std::string_view key,
                  const std::vector<std::string>& digests,
                  std::string_view indent,
                  std::string& out) {
  out += fmt::format("{}{}:\n", indent, key);
  for (const std::string& it : digests) {
    out += fmt::format("{}  - \"{}\"\n", indent, it);
  }
}

}  // namespace

coordination::Result<Answers, RulesFaults> ReadAnswers(
    const std::string& file,
    const std::string& text) {
  Reader reader(file);
  Answers answers;
  try {
    answers = reader.Read(YAML::Load(text));
  } catch (const YAML::Exception& e) {
    return RulesFaults{
        {fmt::format("{}:{}: is not YAML ({}); fix this line or the one "
                     "before it",
                     file, e.mark.line + 1, e.msg)}};
  }
  if (reader.faults.empty()) {
    for (const std::string& it : CheckConsistency(answers)) {
      reader.faults.push_back(fmt::format("{}: {}", file, it));
    }
  }
  if (!reader.faults.empty()) {
    return RulesFaults{std::move(reader.faults)};
  }
  return answers;
}

std::string WriteAnswers(const Answers& answers) {
  std::string out = "backend_servers:\n";
  for (const TargetAnswers& it : answers.targets) {
    WriteFields(TargetFields(), it, "  ", out);
  }
  out += "organisations:\n";
  for (const wire::OrganisationRules& it : answers.organisations) {
    WriteFields(OrganisationFields(), it, "  ", out);
    WriteDigests("keys", it.key_digests, "    ", out);
    out += "    kinds:\n";
    for (const wire::KindRules& kind : it.kinds) {
      WriteFields(KindFields(), kind, "      ", out);
    }
  }
  WriteDigests("operator_keys", answers.operator_keys, "", out);
  return out;
}

std::vector<coordination::Section> MakeSections(const Answers& answers) {
  std::vector<coordination::Section> sections;
  for (const wire::OrganisationRules& it : answers.organisations) {
    sections.push_back({std::string(entry::kOrganisationSection) + it.name,
                        wire::EncodeStruct(it), false});
  }
  wire::FleetRules fleet;
  for (const TargetAnswers& it : answers.targets) {
    wire::TargetRules rules;
    rules.name = it.name;
    rules.engine = it.name.starts_with(kModel);
    rules.checks_fencing_token = it.checks_fencing_token;
    rules.weights_version = it.weights_version;
    rules.max_loads = it.max_loads;
    fleet.targets.push_back(rules);
  }
  fleet.operator_key_digests = answers.operator_keys;
  sections.push_back(
      {std::string(entry::kFleetSection), wire::EncodeStruct(fleet), false});
  return sections;
}

}  // namespace peridotgate::operate
