#include "crash_spread.h"

#include <algorithm>
#include <iterator>
#include <numeric>
#include <utility>

namespace peridotgate::gateway {
namespace {

// Enough that all gateways of a fleet of hundreds hear within a few rounds.
constexpr std::size_t kFanOut = 3;

}  // namespace

CrashSpread::Messages CrashSpread::Next(coordination::CrashNews news,
                                        coordination::CrashFacts current,
                                        std::size_t peers) {
  Messages messages;
  messages.to_all = std::move(news.own);
  messages.to_few =
      coordination::Join(std::move(current), std::move(news.relayed));
  if (!messages.to_few.empty()) {
    std::vector<std::size_t> all(peers);
    std::iota(all.begin(), all.end(), std::size_t{0});
    std::sample(all.begin(), all.end(), std::back_inserter(messages.few),
                kFanOut, random_);
  }
  return messages;
}

}  // namespace peridotgate::gateway
