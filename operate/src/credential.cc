#include "operate/credential.h"

#include <algorithm>
#include <cstdlib>
#include <fstream>

#include "coordination/ids.h"
#include "runtime/digest.h"

namespace peridotgate::operate {
namespace {

constexpr const char* kVariable = "PERIDOTGATE_OPERATOR_KEY";

}  // namespace

std::string Advice(CredentialError error) {
  switch (error) {
    case CredentialError::kMissing:
      return "an operator's key is needed: set PERIDOTGATE_OPERATOR_KEY or "
             "name a file with --operator-key-file";
    case CredentialError::kUnreadable:
      return "--operator-key-file can't be read or is empty; give a file whose "
             "first line is the key";
    case CredentialError::kUnknown:
      return "the key is not an operator's key (a caller's key does not do); "
             "use one whose digest stands in operator_keys of the rules in "
             "force";
  }
  return "";
}

coordination::Result<std::string, CredentialError> ReadCredential(
    const std::string& file) {
  std::string key;
  if (!file.empty()) {
    std::ifstream in(file);
    if (!std::getline(in, key) || key.empty()) {
      return CredentialError::kUnreadable;
    }
    return runtime::Sha256Hex(key);
  }
  const char* value = std::getenv(kVariable);
  if (value == nullptr || *value == '\0') {
    return CredentialError::kMissing;
  }
  return runtime::Sha256Hex(value);
}

coordination::Result<void, CredentialError> CheckCredential(
    const std::string& digest,
    const std::vector<std::string>& accepted) {
  if (std::find(accepted.begin(), accepted.end(), digest) == accepted.end()) {
    return CredentialError::kUnknown;
  }
  return coordination::outcome::success();
}

std::string NewKey() {
  return coordination::ToHex(coordination::NewId());
}

}  // namespace peridotgate::operate
