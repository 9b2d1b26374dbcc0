// Which changes of members are still to be told on, newest first.
#ifndef COORDINATION_PENDING_BROADCASTS_H_
#define COORDINATION_PENDING_BROADCASTS_H_

#include <algorithm>
#include <cstddef>
#include <deque>
#include <string>

namespace peridotgate::coordination {

/** A member whose record is told `left` more times. */
struct PendingBroadcast {
  std::string instance;
  int remaining = 0;
};

/** Changes in the order in which they are told. */
class PendingBroadcasts {
 public:
  /** Tells `instance` on `times` times, before all others. */
  void Add(const std::string& instance, int times) {
    std::erase_if(broadcasts_, [&](const PendingBroadcast& it) {
      return it.instance == instance;
    });
    broadcasts_.push_front({instance, times});
  }

  /** The first `n` were told once more. */
  void CountDown(std::size_t n) {
    for (std::size_t i = 0; i < std::min(n, broadcasts_.size()); ++i) {
      --broadcasts_[i].remaining;
    }
    std::erase_if(broadcasts_,
                  [](const PendingBroadcast& it) { return it.remaining <= 0; });
  }

  bool empty() const { return broadcasts_.empty(); }
  const std::deque<PendingBroadcast>& all() const { return broadcasts_; }

 private:
  std::deque<PendingBroadcast> broadcasts_;
};

}  // namespace peridotgate::coordination

#endif  // COORDINATION_PENDING_BROADCASTS_H_
