// Membership pings that are waiting for a reply.
#ifndef COORDINATION_MEMBER_PINGS_H_
#define COORDINATION_MEMBER_PINGS_H_

#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "coordination/clock.h"

namespace peridotgate::coordination {

/** A ping sent to `instance`; `attempt` counts consecutive ones from 1. */
struct MemberPing {
  std::string instance;
  int attempt = 0;
  TimePoint expires;
};

/** All outstanding pings. */
class MemberPings {
 public:
  void Add(MemberPing ping) { pings_.push_back(std::move(ping)); }

  /** Removes the pings of `instance`, which has sent a message. */
  void Remove(std::string_view instance) {
    std::erase_if(
        pings_, [&](const MemberPing& it) { return it.instance == instance; });
  }

  void Clear() { pings_.clear(); }

  /** Removes and returns the pings that were not answered in time. */
  std::vector<MemberPing> TakeExpired(TimePoint now) {
    std::vector<MemberPing> expired;
    std::vector<MemberPing> waiting;
    for (MemberPing& it : pings_) {
      (now < it.expires ? waiting : expired).push_back(std::move(it));
    }
    pings_ = std::move(waiting);
    return expired;
  }

 private:
  std::vector<MemberPing> pings_;
};

}  // namespace peridotgate::coordination

#endif  // COORDINATION_MEMBER_PINGS_H_
