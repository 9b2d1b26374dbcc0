// Peers that were asked and do not answer are passed over for a while.
#ifndef COORDINATION_ANSWER_WATCH_H_
#define COORDINATION_ANSWER_WATCH_H_

#include <string>
#include <unordered_map>

#include "coordination/clock.h"

namespace peridotgate::coordination {

/** Counts questions without an answer, by peer. */
class AnswerWatch {
 public:
  AnswerWatch(int unanswered, Duration avoidance_period)
      : most_(unanswered), avoidance_(avoidance_period) {}

  /** True when the peer is passed over from now on. */
  bool OnAsked(const std::string& instance, TimePoint now);

  /** True when the peer was passed over until now. */
  bool OnAnswer(const std::string& instance);

  /** True when a peer is given another trial. */
  bool Expire(TimePoint now);

  bool IsAvoided(const std::string& instance) const {
    return avoided_.contains(instance);
  }

 private:
  int most_;
  Duration avoidance_;
  std::unordered_map<std::string, int> unanswered_;
  std::unordered_map<std::string, TimePoint> avoided_;
};

}  // namespace peridotgate::coordination

#endif  // COORDINATION_ANSWER_WATCH_H_
