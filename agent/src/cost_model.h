// Predicts the costs of calls and the server's throughput from past calls.
#ifndef AGENT_COST_MODEL_H_
#define AGENT_COST_MODEL_H_

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <unordered_map>

#include "agent/scheduler.h"

namespace peridotgate::agent {

/**
 * Predicts costs by organisation and kind. The unit is the engine time of one
 * prompt token; an output token costs many of them.
 */
class CostModel {
 public:
  /** Predicted cost of `call`, from past costs of its kind. */
  double Predict(const ScheduledCall& call) const;

  /** Whether `cost` is so far above the average that the call is long. */
  bool IsLong(double cost) const;

  /** Cost of a call that computed `tokens`, `outputs` of them as output. */
  static double ActualCost(double tokens, std::int64_t outputs);

  /** Records a finished call, where `call.cost` is from `Predict`. */
  void Record(const ScheduledCall& call, double cost);

  /** Moving average of the cost of short calls. */
  double average_cost() const { return average_cost_; }

 private:
  struct KindHistory {
    double ratio = 1;  // Actual cost / cost from the estimated tokens.
  };
  static constexpr double kInitialCost = 3000;

  // Map key; `KindIdView` allows look-ups without allocating strings.
  template <class Text>
  struct KindId {
    Text organisation;
    Text kind;
  };
  struct KindIdHash {
    using is_transparent = void;
    template <class Text>
    std::size_t operator()(const KindId<Text>& it) const {
      constexpr std::size_t kHashMultiplier = 0x9e3779b97f4a7c15;
      const std::hash<std::string_view> hash;
      return hash(it.organisation) * kHashMultiplier + hash(it.kind);
    }
  };
  struct KindIdEqual {
    using is_transparent = void;
    template <class A, class B>
    bool operator()(const KindId<A>& a, const KindId<B>& b) const {
      return a.organisation == b.organisation && a.kind == b.kind;
    }
  };
  using KindIdView = KindId<std::string_view>;

  const KindHistory* Find(const ScheduledCall& call) const;

  std::unordered_map<KindId<std::string>, KindHistory, KindIdHash, KindIdEqual>
      kinds_;
  double average_cost_ = kInitialCost;
};

/** Throughput of the server, in cost per second, while calls wait. */
class DrainRate {
 public:
  void OnFinish(double cost, coordination::TimePoint now, bool backlogged);

  double cost_per_second() const { return cost_ / seconds_; }

 private:
  static constexpr double kInitialCostPerSecond = 30000;

  double cost_ = kInitialCostPerSecond;
  double seconds_ = 1;
  bool was_backlogged_ = false;
  coordination::TimePoint last_finish_{};
};

}  // namespace peridotgate::agent

#endif  // AGENT_COST_MODEL_H_
