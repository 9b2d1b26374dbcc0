// Tracks which prompt parts were recently sent to a server, as an LRU bounded
// in tokens. Models which parts the engine's own cache has evicted.
#ifndef GATEWAY_PART_LRU_H_
#define GATEWAY_PART_LRU_H_

#include <cstddef>
#include <cstdint>
#include <list>
#include <unordered_map>

#include "coordination/clock.h"

namespace peridotgate::gateway {

/**
 * LRU set of prompt parts.
 *
 *     PartLru parts(100'000);
 *     parts.Touch(HashOf(part), 800, now);
 *     parts.Has(HashOf(part));
 */
class PartLru {
 public:
  explicit PartLru(std::size_t max_tokens = 0) : max_tokens_(max_tokens) {}

  /** Records a use of the part. */
  void Touch(std::uint64_t id,
             std::int64_t tokens,
             coordination::TimePoint now) {
    auto found = by_id_.find(id);
    if (found != by_id_.end()) {
      order_.splice(order_.begin(), order_, found->second);
      found->second->last_use = now;
      return;
    }
    order_.push_front({id, static_cast<std::size_t>(tokens), now});
    by_id_[id] = order_.begin();
    tokens_ += static_cast<std::size_t>(tokens);
    while (tokens_ > max_tokens_ && !order_.empty()) {
      tokens_ -= order_.back().tokens;
      by_id_.erase(order_.back().id);
      order_.pop_back();
    }
  }

  /** Whether the part is assumed to be still cached. */
  bool Has(std::uint64_t id) const { return by_id_.contains(id); }

  /** Time of the last use; `TimePoint{}` if unknown. */
  coordination::TimePoint LastUse(std::uint64_t id) const {
    auto found = by_id_.find(id);
    return found == by_id_.end() ? coordination::TimePoint{}
                                 : found->second->last_use;
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
    coordination::TimePoint last_use;
  };

  std::size_t max_tokens_;
  std::size_t tokens_ = 0;
  std::list<Part> order_;
  std::unordered_map<std::uint64_t, std::list<Part>::iterator> by_id_;
};

}  // namespace peridotgate::gateway

#endif  // GATEWAY_PART_LRU_H_
