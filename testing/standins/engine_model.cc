#include "standins/engine_model.h"

#include <spdlog/fmt/fmt.h>

namespace peridotgate::standins {

namespace json = boost::json;

std::string TokenAt(std::string_view prompt, std::int64_t index) {
  const std::size_t seed = std::hash<std::string_view>()(prompt);
  const std::size_t hash =
      (seed ^ static_cast<std::size_t>(index)) * 0x9e3779b97f4a7c15;
  return fmt::format("w{:04x} ", (hash >> 40) & 0xffff);
}

std::string PromptOf(const json::object& body) {
  if (const json::value* it = body.if_contains("prompt")) {
    return json::serialize(*it);
  }
  const json::value* messages = body.if_contains("messages");
  std::string text;
  if (messages == nullptr || !messages->is_array()) {
    return text;
  }
  for (const json::value& it : messages->get_array()) {
    text += json::value_to<std::string>(it.at("role")) + "\n";
    text += json::value_to<std::string>(it.at("content")) + "\n";
  }
  return text;
}

std::size_t BlockCache::LookupOrInsert(
    const std::vector<routing::PrefixKey>& chain,
    const std::string& request_id) {
  std::size_t cached_prefix = 0;
  bool prefix_cached = true;
  for (std::size_t i = 0; i < chain.size(); ++i) {
    auto it = entries_.find(chain[i]);
    if (it != entries_.end()) {
      lru_.splice(lru_.begin(), lru_, it->second);
      cached_prefix += prefix_cached ? 1 : 0;
      continue;
    }
    prefix_cached = false;
    lru_.push_front(chain[i]);
    entries_[chain[i]] = lru_.begin();
    on_change_({chain[i], request_id, i});
    Evict();
  }
  return cached_prefix;
}

void BlockCache::Evict() {
  while (entries_.size() > capacity_) {
    const std::uint64_t block = lru_.back();
    lru_.pop_back();
    entries_.erase(block);
    on_change_({block, "", 0});
  }
}

}  // namespace peridotgate::standins
