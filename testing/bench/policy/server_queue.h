// The queue in front of a server: the agent's scheduler, an earlier version of
// it, or plain arrival order.
#ifndef TESTING_BENCH_POLICY_SERVER_QUEUE_H_
#define TESTING_BENCH_POLICY_SERVER_QUEUE_H_

#include <algorithm>
#include <deque>
#include <memory>
#include <optional>
#include <unordered_set>

#include "agent/scheduler.h"
#include "bench/policy/previous/scheduler.h"

namespace peridotgate::bench {

using agent::ScheduledCall;
using coordination::Id128;

class ServerQueue {
 public:
  virtual ~ServerQueue() = default;
  virtual wire::Reason::type Admit(const ScheduledCall& call) const = 0;
  virtual void Push(ScheduledCall call) = 0;
  virtual std::optional<ScheduledCall> Next() = 0;
  virtual bool Remove(const Id128& id) = 0;
  virtual std::optional<Id128> NextExpired() { return std::nullopt; }
  virtual bool StartsInTime(const ScheduledCall& call) {
    return call.wait_limit >= coordination::Duration(0);
  }
  virtual void OnHandedOver(const Id128& id) = 0;
  virtual void OnOutput(const Id128& id) = 0;
  virtual void Finish(const Id128& id, double cost) = 0;
  virtual void Describe(const wire::ProbeRequest& request,
                        wire::ProbeReply& reply) const = 0;
  /** Exchange of service totals, for fair shares across all servers. */
  virtual wire::ShareReport TakeShareReport() { return {}; }
  virtual void OnShareReport(const wire::ShareReport& /*report*/) {}
};

/** Adapts the current or the previous scheduler. */
template <class S, class Limits>
class ScheduledQueue : public ServerQueue {
 public:
  explicit ScheduledQueue(const coordination::Clock& clock)
      : scheduler_(clock, Limits{}) {}

  wire::Reason::type Admit(const ScheduledCall& call) const override {
    return scheduler_.Admit(call);
  }
  void Push(ScheduledCall call) override { scheduler_.Push(std::move(call)); }
  std::optional<ScheduledCall> Next() override { return scheduler_.Next(); }
  bool Remove(const Id128& id) override { return scheduler_.Remove(id); }
  std::optional<Id128> NextExpired() override {
    if constexpr (requires { scheduler_.NextExpired(); }) {
      return scheduler_.NextExpired();
    } else {
      return std::nullopt;
    }
  }
  bool StartsInTime(const ScheduledCall& call) override {
    if constexpr (requires { scheduler_.StartsInTime(call); }) {
      return scheduler_.StartsInTime(call);
    } else {
      return ServerQueue::StartsInTime(call);
    }
  }
  void OnHandedOver(const Id128& id) override { scheduler_.OnHandedOver(id); }
  void OnOutput(const Id128& id) override { scheduler_.OnOutput(id); }
  void Finish(const Id128& id, double cost) override {
    scheduler_.Finish(id, cost);
  }
  void Describe(const wire::ProbeRequest& request,
                wire::ProbeReply& reply) const override {
    scheduler_.Describe(request, reply);
  }
  wire::ShareReport TakeShareReport() override {
    if constexpr (requires { scheduler_.TakeShareReport(); }) {
      return scheduler_.TakeShareReport();
    } else {
      return {};
    }
  }
  void OnShareReport(const wire::ShareReport& report) override {
    if constexpr (requires { scheduler_.OnShareReport(report); }) {
      scheduler_.OnShareReport(report);
    }
  }

 private:
  S scheduler_;
};

using CurrentQueue = ScheduledQueue<agent::Scheduler, agent::SchedulerLimits>;
using PreviousQueue =
    ScheduledQueue<previous::Scheduler, previous::SchedulerLimits>;

/** First in, first out, with as many slots as the schedulers. */
class ArrivalQueue : public ServerQueue {
 public:
  wire::Reason::type Admit(const ScheduledCall& /*call*/) const override {
    return wire::Reason::kNone;
  }
  void Push(ScheduledCall call) override {
    waiting_.push_back(std::move(call));
  }
  std::optional<ScheduledCall> Next() override {
    if (waiting_.empty() || running_.size() >= kSlots) {
      return std::nullopt;
    }
    std::optional<ScheduledCall> call = std::move(waiting_.front());
    waiting_.pop_front();
    running_.insert(call->request_id);
    return call;
  }
  bool Remove(const Id128& id) override {
    return std::erase_if(waiting_, [&](const ScheduledCall& it) {
             return it.request_id == id;
           }) > 0;
  }
  void OnHandedOver(const Id128& /*id*/) override {}
  void OnOutput(const Id128& /*id*/) override {}
  void Finish(const Id128& id, double /*cost*/) override { running_.erase(id); }
  void Describe(const wire::ProbeRequest& /*request*/,
                wire::ProbeReply& /*reply*/) const override {}

 private:
  static constexpr std::size_t kSlots = 16;
  std::deque<ScheduledCall> waiting_;
  std::unordered_set<Id128> running_;
};

}  // namespace peridotgate::bench

#endif  // TESTING_BENCH_POLICY_SERVER_QUEUE_H_
