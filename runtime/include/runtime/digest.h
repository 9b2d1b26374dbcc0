// SHA-256 and base64 on top of OpenSSL, for stored API keys and body digests.
#ifndef RUNTIME_DIGEST_H_
#define RUNTIME_DIGEST_H_

#include <optional>
#include <string>
#include <string_view>

namespace peridotgate::runtime {

/** The SHA-256 digest of `text` as 64 hexadecimal digits. */
std::string Sha256Hex(std::string_view text);

/** Encodes `bytes` as padded base64. */
std::string ToBase64(std::string_view bytes);

/** Decodes `text`; returns `nullopt` when it is not valid base64. */
std::optional<std::string> FromBase64(std::string_view text);

}  // namespace peridotgate::runtime

#endif  // RUNTIME_DIGEST_H_
