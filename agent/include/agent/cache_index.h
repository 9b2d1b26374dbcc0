// Index of the prompt prefixes in the server's cache.
#ifndef AGENT_CACHE_INDEX_H_
#define AGENT_CACHE_INDEX_H_

#include <cstddef>
#include <cstdint>
#include <span>
#include <unordered_map>

namespace peridotgate::agent {

/**
 * Valid for one incarnation of the server and one version of its weights; a
 * change of either empties it. The server assigns block ids; the keys are the
 * router's prefix keys.
 */
class CacheIndex {
 public:
  /** Empties the index for a new incarnation. 0 means unknown. */
  void Reset(std::int64_t incarnation, std::int64_t weights_version);

  void Store(std::uint64_t block, std::uint64_t key);
  void Remove(std::uint64_t block);

  /** Length of the longest prefix of `chain` with all keys in the cache. */
  std::int32_t HeldPieces(std::span<const std::int64_t> chain) const;

  std::int64_t incarnation() const { return incarnation_; }
  std::int64_t weights_version() const { return weights_version_; }
  std::size_t size() const { return key_of_block_.size(); }

 private:
  std::int64_t incarnation_ = 0;
  std::int64_t weights_version_ = 0;
  std::unordered_map<std::uint64_t, std::uint64_t> key_of_block_;
  std::unordered_map<std::uint64_t, std::int32_t> blocks_of_key_;
};

}  // namespace peridotgate::agent

#endif  // AGENT_CACHE_INDEX_H_
