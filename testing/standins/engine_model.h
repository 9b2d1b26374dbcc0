// The parts of a stand-in model engine that need no I/O: its output tokens and
// its block cache.
#ifndef TESTING_STANDINS_ENGINE_MODEL_H_
#define TESTING_STANDINS_ENGINE_MODEL_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <list>
#include <string>
#include <string_view>
#include <unordered_map>

#include <boost/json.hpp>

#include "routing/prefix_keys.h"

namespace peridotgate::standins {

/** The `index`-th output token for `prompt`; the same on every engine. */
std::string TokenAt(std::string_view prompt, std::int64_t index);

/** Exit status of an engine that crashed on a prompt. */
inline constexpr int kCrashStatus = 70;

/** The prompt text of a completion request. */
std::string PromptOf(const boost::json::object& body);

/** Blocks with least-recently-used eviction; reports each change. */
class BlockCache {
 public:
  /**
   * For a stored block, the request that stored it and the index of the piece
   * in its chain. An evicted block has an empty `request_id`.
   */
  struct Change {
    std::uint64_t block = 0;
    std::string request_id;
    std::size_t piece = 0;
  };
  using OnChange = std::function<void(const Change&)>;

  BlockCache(std::size_t capacity, OnChange on_change)
      : capacity_(capacity), on_change_(std::move(on_change)) {}

  /**
   * Marks the blocks of `chain` as recently used and stores those that are
   * missing. Returns how many blocks at the start of the chain were cached.
   */
  std::size_t LookupOrInsert(const std::vector<routing::PrefixKey>& chain,
                             const std::string& request_id);

 private:
  void Evict();

  std::size_t capacity_;
  OnChange on_change_;
  std::list<std::uint64_t> lru_;
  std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator>
      entries_;
};

}  // namespace peridotgate::standins

#endif  // TESTING_STANDINS_ENGINE_MODEL_H_
