// The operator's credential, which is separate from callers' keys.
#ifndef OPERATE_CREDENTIAL_H_
#define OPERATE_CREDENTIAL_H_

#include <string>
#include <vector>

#include "coordination/result.h"

namespace peridotgate::operate {

/** Why a credential is not accepted. */
enum class CredentialError {
  kMissing,     // No file named and no variable set.
  kUnreadable,  // The file can't be read or is empty.
  kUnknown,     // It is not an operator's key.
};

/** An error message that says how to fix it. */
std::string Advice(CredentialError error);

/**
 * The SHA-256 of the operator's key, read from the first line of `file` or, if
 * `file` is empty, from the environment. The key itself is not kept.
 */
coordination::Result<std::string, CredentialError> ReadCredential(
    const std::string& file);

/** Checks that `digest` is one of `accepted`. */
coordination::Result<void, CredentialError> CheckCredential(
    const std::string& digest,
    const std::vector<std::string>& accepted);

/** Generates a random key; the answers hold its digest. */
std::string NewKey();

}  // namespace peridotgate::operate

#endif  // OPERATE_CREDENTIAL_H_
