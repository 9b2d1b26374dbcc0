#include "row_patch.h"

#include <algorithm>
#include <array>
#include <unordered_map>
#include <utility>

#include <xxhash.h>
#include <zlib.h>

namespace peridotgate::gateway {
namespace {

constexpr std::size_t kMinChunkBytes = 128;
constexpr std::size_t kMaxChunkBytes = 4096;
// A chunk ends where these bits of the rolling hash are 0: on average after 512
// bytes, the length of two or three routes.
constexpr std::uint64_t kBoundaryMask = std::uint64_t{0x1ff} << 55;

// Enough to serve gateways that are a few changes behind.
constexpr std::size_t kMaxVersions = 8;

// Random values by byte for the rolling hash, made with SplitMix64.
constexpr std::array<std::uint64_t, 256> MakeByteHashes() {
  std::array<std::uint64_t, 256> hashes{};
  std::uint64_t state = 0;
  for (std::uint64_t& it : hashes) {
    state += 0x9e3779b97f4a7c15U;
    it = state;
    it = (it ^ (it >> 30U)) * 0xbf58476d1ce4e5b9U;
    it = (it ^ (it >> 27U)) * 0x94d049bb133111ebU;
    it ^= it >> 31U;
  }
  return hashes;
}

constexpr auto kByteHashes = MakeByteHashes();

std::size_t ChunkSize(std::string_view text) {
  if (text.size() <= kMinChunkBytes) {
    return text.size();
  }
  const std::size_t end = std::min(text.size(), kMaxChunkBytes);
  std::uint64_t hash = 0;
  for (std::size_t i = 0; i < end; ++i) {
    hash = (hash << 1U) + kByteHashes[static_cast<unsigned char>(text[i])];
    if (i >= kMinChunkBytes && (hash & kBoundaryMask) == 0) {
      return i + 1;
    }
  }
  return end;
}

std::string Deflate(std::string_view text) {
  uLongf size = compressBound(static_cast<uLong>(text.size()));
  std::string packed(size, '\0');
  const int rc = compress2(reinterpret_cast<Bytef*>(packed.data()), &size,
                           reinterpret_cast<const Bytef*>(text.data()),
                           static_cast<uLong>(text.size()), Z_BEST_SPEED);
  packed.resize(rc == Z_OK ? size : 0);
  return packed;
}

std::optional<std::string> Inflate(std::string_view packed, std::size_t bytes) {
  std::string text(bytes, '\0');
  auto size = static_cast<uLongf>(bytes);
  const int rc = uncompress(reinterpret_cast<Bytef*>(text.data()), &size,
                            reinterpret_cast<const Bytef*>(packed.data()),
                            static_cast<uLong>(packed.size()));
  if (rc != Z_OK || size != bytes) {
    return std::nullopt;
  }
  return text;
}

std::int64_t Checksum(std::string_view text) {
  return static_cast<std::int64_t>(XXH3_64bits(text.data(), text.size()));
}

// Appends a piece, or extends the last one if it continues that.
void AddPiece(std::vector<wire::RowPiece>& pieces,
              std::int64_t offset,
              std::int64_t size) {
  if (!pieces.empty()) {
    wire::RowPiece& last = pieces.back();
    const bool continues =
        offset < 0 ? last.offset < 0
                   : last.offset >= 0 && last.offset + last.size == offset;
    if (continues) {
      last.size += size;
      return;
    }
  }
  wire::RowPiece piece;
  piece.offset = offset;
  piece.size = size;
  pieces.push_back(std::move(piece));
}

}  // namespace

std::vector<TextChunk> SplitText(std::string_view text) {
  std::vector<TextChunk> chunks;
  std::size_t offset = 0;
  while (offset < text.size()) {
    const std::size_t size = ChunkSize(text.substr(offset));
    chunks.push_back({XXH3_64bits(text.data() + offset, size),
                      static_cast<std::uint32_t>(offset),
                      static_cast<std::uint32_t>(size)});
    offset += size;
  }
  return chunks;
}

wire::RowPatch MakePatch(std::string_view text,
                         std::span<const TextChunk> chunks,
                         std::span<const TextChunk> base) {
  std::unordered_map<std::uint64_t, TextChunk> known;
  for (const TextChunk& it : base) {
    known.emplace(it.hash, it);
  }
  wire::RowPatch patch;
  std::string literals;
  for (const TextChunk& it : chunks) {
    const auto found = known.find(it.hash);
    if (found != known.end() && found->second.size == it.size) {
      AddPiece(patch.pieces, found->second.offset, it.size);
    } else {
      AddPiece(patch.pieces, -1, it.size);
      literals += text.substr(it.offset, it.size);
    }
  }
  patch.literal_bytes = static_cast<std::int64_t>(literals.size());
  patch.literals = Deflate(literals);
  patch.checksum = Checksum(text);
  return patch;
}

std::optional<std::string> ApplyPatch(std::string_view base,
                                      const wire::RowPatch& patch) {
  if (patch.literal_bytes < 0 ||
      patch.literal_bytes > static_cast<std::int64_t>(kMaxPatchedBytes)) {
    return std::nullopt;
  }
  const auto literals =
      Inflate(patch.literals, static_cast<std::size_t>(patch.literal_bytes));
  if (!literals) {
    return std::nullopt;
  }
  std::string_view rest = *literals;
  std::string text;
  for (const wire::RowPiece& it : patch.pieces) {
    const std::string_view source = it.offset < 0 ? rest : base;
    const auto offset =
        static_cast<std::uint64_t>(std::max<std::int64_t>(0, it.offset));
    const auto size = static_cast<std::uint64_t>(it.size);
    if (it.size < 0 || offset > source.size() ||
        size > source.size() - offset ||
        text.size() + size > kMaxPatchedBytes) {
      return std::nullopt;
    }
    text += source.substr(offset, size);
    if (it.offset < 0) {
      rest.remove_prefix(size);
    }
  }
  if (!rest.empty() || Checksum(text) != patch.checksum) {
    return std::nullopt;
  }
  return text;
}

void RowPatches::OnRow(const StoredRow& row) {
  if (row.removed || row.value.size() < kMinPatchedBytes) {
    rows_.erase(row.key);
    return;
  }
  RowState& state = rows_[row.key];
  if (!state.versions.empty() && state.versions.back().version >= row.version) {
    return;
  }
  state.versions.push_back({row.version, SplitText(row.value)});
  if (state.versions.size() > kMaxVersions) {
    state.versions.pop_front();
  }
  state.patches.clear();
}

const wire::RowPatch& RowPatches::Get(const StoredRow& row,
                                      StoreVersion base_version) {
  RowState& state = rows_[row.key];
  if (state.versions.empty() || state.versions.back().version != row.version) {
    state = {};
    state.versions.push_back({row.version, SplitText(row.value)});
  }
  const auto base = std::find_if(
      state.versions.begin(), state.versions.end(),
      [&](const Version& it) { return it.version == base_version; });
  const StoreVersion used =
      base == state.versions.end() ? StoreVersion{} : base_version;
  const auto found = state.patches.find(used);
  if (found != state.patches.end()) {
    return found->second;
  }
  std::span<const TextChunk> base_chunks;
  if (used.number != 0) {
    base_chunks = base->chunks;
  }
  wire::RowPatch patch =
      MakePatch(row.value, state.versions.back().chunks, base_chunks);
  patch.base_version = used.number;
  patch.base_era = used.era;
  return state.patches.emplace(used, std::move(patch)).first->second;
}

}  // namespace peridotgate::gateway
