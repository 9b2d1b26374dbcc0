#include "agent/cache_index.h"

namespace peridotgate::agent {

void CacheIndex::Reset(std::int64_t incarnation, std::int64_t weights_version) {
  incarnation_ = incarnation;
  weights_version_ = weights_version;
  key_of_block_.clear();
  blocks_of_key_.clear();
}

void CacheIndex::Store(std::uint64_t block, std::uint64_t key) {
  if (key_of_block_.emplace(block, key).second) {
    ++blocks_of_key_[key];
  }
}

void CacheIndex::Remove(std::uint64_t block) {
  auto it = key_of_block_.find(block);
  if (it == key_of_block_.end()) {
    return;
  }
  auto held = blocks_of_key_.find(it->second);
  if (--held->second == 0) {
    blocks_of_key_.erase(held);
  }
  key_of_block_.erase(it);
}

std::int32_t CacheIndex::HeldPieces(std::span<const std::int64_t> chain) const {
  std::int32_t n = 0;
  for (std::int64_t it : chain) {
    if (!blocks_of_key_.contains(static_cast<std::uint64_t>(it))) {
      break;
    }
    ++n;
  }
  return n;
}

}  // namespace peridotgate::agent
