#include "level_table.h"

#include <algorithm>
#include <tuple>

namespace peridotgate::coordination {

std::vector<ServiceLevel> LargestLevels(const LevelSums& sums, std::size_t n) {
  std::vector<ServiceLevel> levels;
  levels.reserve(sums.size());
  for (const auto& [account, cost] : sums) {
    levels.push_back({account, cost});
  }
  if (levels.size() > n) {
    std::nth_element(
        levels.begin(), levels.begin() + static_cast<std::ptrdiff_t>(n),
        levels.end(), [](const ServiceLevel& a, const ServiceLevel& b) {
          return std::tie(a.cost_tokens, a.account) >
                 std::tie(b.cost_tokens, b.account);
        });
    levels.resize(n);
  }
  return levels;
}

bool LevelTable::Update(const PeerAddress& from,
                        const ShareMessage& message,
                        TimePoint now) {
  auto it = reports_.find(message.sender);
  if (it == reports_.end()) {
    if (reports_.size() >= max_senders_) {
      return false;
    }
    it = reports_.try_emplace(message.sender).first;
  } else if (message.period <= it->second.period) {
    return false;
  }
  it->second = {from, message.period, now, message.levels};
  return true;
}

bool LevelTable::Expire(TimePoint oldest) {
  return std::erase_if(reports_, [oldest](const auto& it) {
           return it.second.received_at < oldest;
         }) > 0;
}

void LevelTable::AddTo(LevelSums& sums) const {
  for (const auto& [sender, it] : reports_) {
    for (const ServiceLevel& level : it.levels) {
      sums[level.account] += level.cost_tokens;
    }
  }
}

}  // namespace peridotgate::coordination
