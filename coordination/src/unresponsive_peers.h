// Temporarily avoids peers that do not respond to requests.
#ifndef COORDINATION_UNRESPONSIVE_PEERS_H_
#define COORDINATION_UNRESPONSIVE_PEERS_H_

#include <string>
#include <unordered_map>

#include "coordination/clock.h"

namespace peridotgate::coordination {

/** Counts the requests without a response for each peer. */
class UnresponsivePeers {
 public:
  UnresponsivePeers(int max_unanswered, Duration avoidance_period)
      : max_unanswered_(max_unanswered), avoidance_period_(avoidance_period) {}

  /** Records a request; returns true if the peer is avoided from now on. */
  bool OnRequestSent(const std::string& instance, TimePoint now);

  /** Records a response; returns true if the peer was avoided until now. */
  bool OnResponse(const std::string& instance);

  /** Ends avoidances that are over; returns true if there were any. */
  bool Expire(TimePoint now);

  bool IsAvoided(const std::string& instance) const {
    return avoided_.contains(instance);
  }

 private:
  int max_unanswered_;
  Duration avoidance_period_;
  std::unordered_map<std::string, int> unanswered_;
  std::unordered_map<std::string, TimePoint> avoided_;
};

}  // namespace peridotgate::coordination

#endif  // COORDINATION_UNRESPONSIVE_PEERS_H_
