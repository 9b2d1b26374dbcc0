// Changed member records that still have to be broadcast, newest first.
#ifndef COORDINATION_PENDING_BROADCASTS_H_
#define COORDINATION_PENDING_BROADCASTS_H_

#include <algorithm>
#include <cstddef>
#include <deque>
#include <string>

namespace peridotgate::coordination {

/** A member whose record is to be broadcast `remaining` more times. */
struct PendingBroadcast {
  std::string instance;
  int remaining = 0;
};

/** Pending broadcasts in the order in which they are sent. */
class PendingBroadcasts {
 public:
  /** Schedules `times` broadcasts of `instance`, ahead of all others. */
  void Add(const std::string& instance, int times) {
    std::erase_if(broadcasts_, [&](const PendingBroadcast& it) {
      return it.instance == instance;
    });
    broadcasts_.push_front({instance, times});
  }

  /** Records that the first `n` were broadcast once more. */
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
