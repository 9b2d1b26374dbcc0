// Weighted fair queue over flows that charges each flow by cost instead of by
// number of requests.
#ifndef COORDINATION_FAIR_QUEUE_H_
#define COORDINATION_FAIR_QUEUE_H_

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>

#include "coordination/check.h"

namespace peridotgate::coordination {

/**
 * Start-time fair queueing. Each flow has a virtual start time that advances by
 * cost/weight for each element served; the backlogged flow with the lowest
 * start time is served next. An idle flow accumulates no credit and keeps at
 * most `max_debt` of its debt. `Correct` adjusts the charge of a flow once the
 * actual cost is known.
 *
 *     FairQueue<Job> queue;
 *     queue.Push("tailors", 2.0, 500, job);
 *     auto next = queue.Pop();
 */
template <class T>
class FairQueue {
 public:
  /** Result of `Pop`: the element, its flow and the cost charged. */
  struct Entry {
    std::string flow;
    double cost = 0;
    T element;
  };

  /** `max_debt` limits the debt that an idle flow keeps, in units of cost. */
  explicit FairQueue(double max_debt = 1e18) : max_debt_(max_debt) {}

  /** Enqueues `element` for `flow`; `weight` and `cost` must be positive. */
  void Push(std::string_view flow, double weight, double cost, T element) {
    PG_CHECK(weight > 0 && cost > 0);
    Flow& it = FindOrAdd(flow, weight);
    if (it.waiting.empty()) {
      Activate(it);
    }
    it.waiting.push_back({cost, std::move(element)});
    it.waiting_cost += cost;
    ++size_;
  }

  /** Removes and returns the next element in fair order, if there is one. */
  std::optional<Entry> Pop() {
    if (ready_.empty()) {
      return std::nullopt;
    }
    Flow& flow = *ready_.begin()->flow;
    ready_.erase(ready_.begin());
    QueuedElement next = std::move(flow.waiting.front());
    flow.waiting.pop_front();
    flow.waiting_cost -= next.cost;
    --size_;
    virtual_time_ = std::max(virtual_time_, flow.start);
    flow.start += next.cost / flow.weight;
    RequeueOrGoIdle(flow);
    return Entry{flow.name, next.cost, std::move(next.element)};
  }

  /**
   * The flow that `Pop` would serve next, or empty. The view is valid until the
   * queue changes.
   */
  std::string_view NextFlow() const {
    return ready_.empty() ? std::string_view() : ready_.begin()->flow->name;
  }

  /** Adjusts the cost already charged to `flow` by `delta`. */
  void Correct(std::string_view flow, double delta) {
    auto it = flows_.find(flow);
    if (it == flows_.end()) {
      return;
    }
    Flow& found = it->second;
    ready_.erase({found.start, found.creation_index, &found});
    found.start += delta / found.weight;
    if (!found.waiting.empty()) {
      ready_.insert({found.start, found.creation_index, &found});
    }
  }

  /** Removes the first element of `flow` for which `match` holds. */
  template <class Match>
  std::optional<T> Remove(std::string_view flow, Match match) {
    auto found = flows_.find(flow);
    if (found == flows_.end()) {
      return std::nullopt;
    }
    Flow& from = found->second;
    auto it = std::find_if(
        from.waiting.begin(), from.waiting.end(),
        [&](const QueuedElement& other) { return match(other.element); });
    if (it == from.waiting.end()) {
      return std::nullopt;
    }
    T element = std::move(it->element);
    from.waiting_cost -= it->cost;
    from.waiting.erase(it);
    --size_;
    if (from.waiting.empty()) {
      ready_.erase({from.start, from.creation_index, &from});
      total_weight_ -= from.weight;
    }
    return element;
  }

  std::size_t size() const { return size_; }

  /** Virtual time until a new element of `flow` would be served. */
  double VirtualWait(std::string_view flow) const {
    auto it = flows_.find(flow);
    if (it == flows_.end()) {
      return 0;
    }
    const Flow& found = it->second;
    const double debt =
        std::clamp(found.start - virtual_time_, 0.0, max_debt_ / found.weight);
    return debt + std::max(0.0, found.waiting_cost) / found.weight;
  }

  /** Sum of the weights of all backlogged flows. */
  double BackloggedWeight() const { return total_weight_; }

 private:
  struct QueuedElement {
    double cost;
    T element;
  };
  struct Flow {
    std::string name;
    std::size_t creation_index = 0;
    double weight = 1;
    double start = 0;
    double waiting_cost = 0;
    std::deque<QueuedElement> waiting;
  };
  // Allows lookup by `string_view` without constructing a string.
  struct NameHash {
    using is_transparent = void;
    std::size_t operator()(std::string_view name) const {
      return std::hash<std::string_view>()(name);
    }
  };
  // Orders backlogged flows by start time. On a tie the flow that was added
  // first wins.
  struct ReadyFlow {
    double start;
    std::size_t creation_index;
    Flow* flow;
    bool operator<(const ReadyFlow& other) const {
      return start != other.start ? start < other.start
                                  : creation_index < other.creation_index;
    }
  };

  Flow& FindOrAdd(std::string_view name, double weight) {
    auto it = flows_.find(name);
    const bool is_new = it == flows_.end();
    if (is_new) {
      it = flows_.try_emplace(std::string(name)).first;
    }
    Flow& flow = it->second;
    if (is_new) {
      flow.name = name;
      flow.creation_index = flows_.size();
    }
    if (!flow.waiting.empty()) {
      total_weight_ += weight - flow.weight;
    }
    flow.weight = weight;
    return flow;
  }

  // Makes an idle flow ready. It gets no credit for its idle time, and its debt
  // is limited to `max_debt_`.
  void Activate(Flow& flow) {
    const double latest = virtual_time_ + max_debt_ / flow.weight;
    flow.start = std::clamp(flow.start, virtual_time_, latest);
    total_weight_ += flow.weight;
    ready_.insert({flow.start, flow.creation_index, &flow});
  }

  void RequeueOrGoIdle(Flow& flow) {
    if (flow.waiting.empty()) {
      total_weight_ -= flow.weight;
      flow.waiting_cost = 0;
      return;
    }
    ready_.insert({flow.start, flow.creation_index, &flow});
  }

  double max_debt_;
  std::unordered_map<std::string, Flow, NameHash, std::equal_to<>>
      flows_;  // Node-based: `ReadyFlow` keeps pointers to the values.
  std::set<ReadyFlow> ready_;
  double virtual_time_ = 0;
  double total_weight_ = 0;
  std::size_t size_ = 0;
};

}  // namespace peridotgate::coordination

#endif  // COORDINATION_FAIR_QUEUE_H_
