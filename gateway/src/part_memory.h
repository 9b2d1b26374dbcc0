// Remembers which parts of prompts went to a place of late, within a bound of
// tokens: the least recently used are forgotten, as engines evict them.
#ifndef GATEWAY_PART_MEMORY_H_
#define GATEWAY_PART_MEMORY_H_

#include <cstddef>
#include <cstdint>
#include <list>
#include <unordered_map>

#include "coordination/clock.h"

namespace peridotgate::gateway {

/**
 * Parts by recency.
 *
 *     PartMemory parts(100'000);
 *     parts.Touch(HashOf(part), 800, now);
 *     parts.Has(HashOf(part));
 */
class PartMemory {
 public:
  explicit PartMemory(std::size_t most_tokens = 0)
      : most_tokens_(most_tokens) {}

  /** The part was used at the place now. */
  void Touch(std::uint64_t id,
             std::int64_t tokens,
             coordination::TimePoint now) {
    auto found = by_id_.find(id);
    if (found != by_id_.end()) {
      order_.splice(order_.begin(), order_, found->second);
      found->second->used = now;
      return;
    }
    order_.push_front({id, static_cast<std::size_t>(tokens), now});
    by_id_[id] = order_.begin();
    tokens_ += static_cast<std::size_t>(tokens);
    while (tokens_ > most_tokens_ && !order_.empty()) {
      tokens_ -= order_.back().tokens;
      by_id_.erase(order_.back().id);
      order_.pop_back();
    }
  }

  /** Whether the part is taken to be there still. */
  bool Has(std::uint64_t id) const { return by_id_.contains(id); }

  /** When the part was used last; the clock's origin if unknown. */
  coordination::TimePoint LastUse(std::uint64_t id) const {
    auto found = by_id_.find(id);
    return found == by_id_.end() ? coordination::TimePoint{}
                                 : found->second->used;
  }

  void Clear() {
    order_.clear();
    by_id_.clear();
    tokens_ = 0;
  }

 private:
  struct Part {
    std::uint64_t id;
    std::size_t tokens;
    coordination::TimePoint used;
  };

  std::size_t most_tokens_;
  std::size_t tokens_ = 0;
  std::list<Part> order_;
  std::unordered_map<std::uint64_t, std::list<Part>::iterator> by_id_;
};

}  // namespace peridotgate::gateway

#endif  // GATEWAY_PART_MEMORY_H_
