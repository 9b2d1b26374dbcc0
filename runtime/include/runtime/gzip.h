// Gzip compression for status pages, which operators' tools poll repeatedly.
#ifndef RUNTIME_GZIP_H_
#define RUNTIME_GZIP_H_

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace peridotgate::runtime {

/** Compresses `text` into the gzip format (RFC 1952). */
std::string Gzip(std::string_view text);

/**
 * Decompresses `compressed`. Returns `nullopt` when the data is corrupt or
 * expands to more than `max_bytes`.
 */
std::optional<std::string> Gunzip(std::string_view compressed,
                                  std::size_t max_bytes);

/**
 * Whether the `Accept-Encoding` header value `accept_encoding` lists gzip with
 * a non-zero weight.
 */
bool AcceptsGzip(std::string_view accept_encoding);

}  // namespace peridotgate::runtime

#endif  // RUNTIME_GZIP_H_
