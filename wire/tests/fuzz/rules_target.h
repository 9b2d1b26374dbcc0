// Fuzz target: the structs that are stored as bytes in the platform's table,
// such as the rules. The first byte of an input selects the struct.
#ifndef WIRE_TESTS_FUZZ_RULES_TARGET_H_
#define WIRE_TESTS_FUZZ_RULES_TARGET_H_

#include <string>
#include <string_view>
#include <vector>

#include "coordination/check.h"
#include "wire/codec.h"

namespace peridotgate::wire {

/** A struct that decodes must survive a round trip unchanged. */
struct RulesTarget {
  static std::vector<std::string> Seeds() {
    KindRules kind;
    kind.name = "sketch";
    kind.target = "model:cutter";
    kind.share = 0.5;
    OrganisationRules organisation;
    organisation.name = "tailors";
    organisation.key_digests = {"00ff"};
    organisation.kinds = {kind, kind};
    TargetRules target;
    target.name = "model:cutter";
    FleetRules fleet;
    fleet.targets = {target};
    return {"a" + EncodeStruct(organisation), "b" + EncodeStruct(fleet),
            "c" + EncodeStruct(ConfigChange()), "d" + EncodeStruct(Member()),
            "e" + EncodeStruct(ClaimRecord())};
  }

  static void Run(std::string_view input) {
    if (input.empty()) {
      return;
    }
    const std::string_view bytes = input.substr(1);
    switch (input.front()) {
      case 'a':
        return RunAs<OrganisationRules>(bytes);
      case 'b':
        return RunAs<FleetRules>(bytes);
      case 'c':
        return RunAs<ConfigChange>(bytes);
      case 'd':
        return RunAs<Member>(bytes);
      default:
        return RunAs<ClaimRecord>(bytes);
    }
  }

 private:
  template <class T>
  static void RunAs(std::string_view bytes) {
    auto value = DecodeStruct<T>(bytes);
    if (!value) {
      return;
    }
    const std::string written = EncodeStruct(value.value());
    auto again = DecodeStruct<T>(written);
    PG_CHECK(again.has_value());
    PG_CHECK(EncodeStruct(again.value()) == written);
  }
};

}  // namespace peridotgate::wire

#endif  // WIRE_TESTS_FUZZ_RULES_TARGET_H_
