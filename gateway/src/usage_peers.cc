#include "usage_peers.h"

#include <algorithm>

namespace peridotgate::gateway {

std::vector<runtime::Endpoint> SelectUsagePeers(
    const runtime::Endpoint& own,
    std::vector<runtime::Endpoint> peers,
    std::size_t max) {
  const auto before = [](const auto& a, const auto& b) {
    return runtime::ToString(a) < runtime::ToString(b);
  };
  std::erase(peers, own);
  std::sort(peers.begin(), peers.end(), before);
  const auto first = std::upper_bound(peers.begin(), peers.end(), own, before);
  std::rotate(peers.begin(), first, peers.end());
  peers.resize(std::min(max, peers.size()));
  return peers;
}

}  // namespace peridotgate::gateway
