#include "piece_assembly.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace peridotgate::coordination {
namespace {

// Two peers may be sending different versions at the same time.
constexpr std::size_t kMaxPartials = 2;
constexpr std::int32_t kMaxPieces = 4096;

}  // namespace

std::optional<std::vector<Section>> PieceAssembly::AddPiece(
    const PieceKey& key,
    std::int32_t piece,
    std::vector<Section> sections) {
  if (key.pieces < 1 || key.pieces > kMaxPieces || piece < 0 ||
      piece >= key.pieces) {
    return std::nullopt;
  }
  PartialTransfer& partial = Find(key);
  partial.last_piece = clock_.Now();
  partial.pieces[static_cast<std::size_t>(piece)] = std::move(sections);
  const bool complete =
      std::all_of(partial.pieces.begin(), partial.pieces.end(),
                  [](const auto& it) { return it.has_value(); });
  if (!complete) {
    return std::nullopt;
  }
  std::vector<Section> all;
  for (auto& it : partial.pieces) {
    std::move(it->begin(), it->end(), std::back_inserter(all));
  }
  std::erase_if(partials_,
                [&](const PartialTransfer& it) { return it.key == key; });
  return all;
}

void PieceAssembly::DropUpTo(std::int64_t version) {
  std::erase_if(partials_, [&](const PartialTransfer& it) {
    return it.key.version <= version;
  });
}

PieceAssembly::PartialTransfer& PieceAssembly::Find(const PieceKey& key) {
  for (PartialTransfer& it : partials_) {
    if (it.key == key) {
      return it;
    }
  }
  if (partials_.size() >= kMaxPartials) {
    partials_.erase(std::min_element(
        partials_.begin(), partials_.end(),
        [](const PartialTransfer& a, const PartialTransfer& b) {
          return a.last_piece < b.last_piece;
        }));
  }
  PartialTransfer& added = partials_.emplace_back();
  added.key = key;
  added.pieces.resize(static_cast<std::size_t>(key.pieces));
  return added;
}

}  // namespace peridotgate::coordination
