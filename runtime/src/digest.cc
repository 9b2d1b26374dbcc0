#include "runtime/digest.h"

#include <array>

#include <openssl/evp.h>
#include <openssl/sha.h>

#include "coordination/check.h"

namespace peridotgate::runtime {
namespace {

constexpr std::string_view kHexDigits = "0123456789abcdef";
constexpr std::size_t kGroupBytes = 3;
constexpr std::size_t kGroupDigits = 4;

std::size_t CountPadding(std::string_view text) {
  std::size_t n = 0;
  while (n < 2 && n < text.size() && text[text.size() - 1 - n] == '=') {
    ++n;
  }
  return n;
}

}  // namespace

std::string Sha256Hex(std::string_view text) {
  // Fetched once: the lookup by name costs more than hashing a short string.
  static const EVP_MD* const sha256 = EVP_MD_fetch(nullptr, "SHA256", nullptr);
  std::array<unsigned char, SHA256_DIGEST_LENGTH> hash{};
  const int done = EVP_Digest(text.data(), text.size(), hash.data(), nullptr,
                              sha256, nullptr);
  PG_CHECK(done == 1);
  std::string hex;
  hex.reserve(2 * hash.size());
  for (const unsigned char it : hash) {
    hex += kHexDigits[it / kHexDigits.size()];
    hex += kHexDigits[it % kHexDigits.size()];
  }
  return hex;
}

std::string ToBase64(std::string_view bytes) {
  const std::size_t groups = (bytes.size() + kGroupBytes - 1) / kGroupBytes;
  std::string out(groups * kGroupDigits + 1, '\0');
  const int n =
      EVP_EncodeBlock(reinterpret_cast<unsigned char*>(out.data()),
                      reinterpret_cast<const unsigned char*>(bytes.data()),
                      static_cast<int>(bytes.size()));
  out.resize(static_cast<std::size_t>(n));
  return out;
}

std::optional<std::string> FromBase64(std::string_view text) {
  if (text.size() % kGroupDigits != 0) {
    return std::nullopt;
  }
  std::string out(text.size() / kGroupDigits * kGroupBytes, '\0');
  const int n =
      EVP_DecodeBlock(reinterpret_cast<unsigned char*>(out.data()),
                      reinterpret_cast<const unsigned char*>(text.data()),
                      static_cast<int>(text.size()));
  if (n < 0) {
    return std::nullopt;
  }
  out.resize(static_cast<std::size_t>(n) - CountPadding(text));
  return out;
}

}  // namespace peridotgate::runtime
