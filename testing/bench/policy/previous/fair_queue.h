// An earlier version of the fair queue, kept as a baseline of the bench.
#ifndef TESTING_BENCH_POLICY_PREVIOUS_FAIR_QUEUE_H_
#define TESTING_BENCH_POLICY_PREVIOUS_FAIR_QUEUE_H_

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>

#include "coordination/check.h"

namespace peridotgate::bench::previous {

/**
 * Start-time fair queueing. Each flow has a virtual start time that grows by
 * cost/weight of each served element; the backlogged flow with the lowest start
 * time is served next. An idle flow accumulates no credit. `Correct` adjusts a
 * flow's charge once the actual cost is known.
 *
 *     FairQueue<Job> queue;
 *     queue.Push("tailors", 2.0, 500, job);
 *     auto next = queue.Pop();
 */
template <class T>
class FairQueue {
 public:
  /** The result of `Pop`: the element, its flow and the cost charged. */
  struct Entry {
    std::string flow;
    double cost = 0;
    T element;
  };

  /** Queues `element` for `flow`; `weight` and `cost` must be positive. */
  void Push(std::string_view flow, double weight, double cost, T element) {
    PG_CHECK(weight > 0 && cost > 0);
    Flow& it = flows_[std::string(flow)];
    it.weight = weight;
    if (it.waiting.empty()) {
      it.start = std::max(it.start, virtual_time_);
    }
    it.waiting.push_back({cost, std::move(element)});
    ++size_;
  }

  /** The next element in fair order, or nothing. Linear in backlogged flows. */
  std::optional<Entry> Pop() {
    auto best = flows_.end();
    for (auto it = flows_.begin(); it != flows_.end(); ++it) {
      if (!it->second.waiting.empty() &&
          (best == flows_.end() || it->second.start < best->second.start)) {
        best = it;
      }
    }
    if (best == flows_.end()) {
      return std::nullopt;
    }
    Flow& flow = best->second;
    Waiting next = std::move(flow.waiting.front());
    flow.waiting.pop_front();
    --size_;
    virtual_time_ = std::max(virtual_time_, flow.start);
    flow.start += next.cost / flow.weight;
    return Entry{best->first, next.cost, std::move(next.element)};
  }

  /** Adds `delta`, which may be negative, to the cost charged to a flow. */
  void Correct(std::string_view flow, double delta) {
    auto it = flows_.find(std::string(flow));
    if (it != flows_.end()) {
      it->second.start += delta / it->second.weight;
    }
  }

  /** Removes the first element of `flow` for which `match` holds. */
  template <class Match>
  std::optional<T> Remove(std::string_view flow, Match match) {
    auto found = flows_.find(std::string(flow));
    if (found == flows_.end()) {
      return std::nullopt;
    }
    auto& waiting = found->second.waiting;
    for (auto it = waiting.begin(); it != waiting.end(); ++it) {
      if (match(it->element)) {
        T element = std::move(it->element);
        waiting.erase(it);
        --size_;
        return element;
      }
    }
    return std::nullopt;
  }

  std::size_t size() const { return size_; }

 private:
  struct Waiting {
    double cost;
    T element;
  };
  struct Flow {
    double weight = 1;
    double start = 0;
    std::deque<Waiting> waiting;
  };

  std::unordered_map<std::string, Flow> flows_;
  double virtual_time_ = 0;
  std::size_t size_ = 0;
};

}  // namespace peridotgate::bench::previous

#endif  // TESTING_BENCH_POLICY_PREVIOUS_FAIR_QUEUE_H_
