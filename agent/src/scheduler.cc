#include "agent/scheduler.h"

#include <algorithm>
#include <set>
#include <span>
#include <tuple>
#include <unordered_map>

#include "call_queue.h"
#include "coordination/check.h"
#include "cost_model.h"
#include "global_shares.h"
#include "long_turns.h"
#include "prediction_error.h"
#include "running_calls.h"
#include "server_speed.h"

namespace peridotgate::agent {
namespace {

using coordination::Duration;
using coordination::Id128;
using coordination::TimePoint;

// Long work may hold the number of slots divided by this.
constexpr std::int32_t kLongSlotsDivisor = 4;
// A call may start while fewer calls of its class than the limit are in prefill
// in the server. A short call may also start while the short prompts in prefill
// have fewer than `kShortWindowTokens` tokens.
constexpr double kShortWindowTokens = 4000;
constexpr std::int32_t kShortWindowCalls = 1;
constexpr std::int32_t kLongWindowCalls = 1;
// The number of slots divided by this is reserved for organisations that use
// less than `kMaxShareMultiple` times their share, so that an organisation
// whose share was borrowed by others can start calls at once.
constexpr std::int32_t kReserveDivisor = 8;
// An organisation with more than this many times its share of the slots may not
// use the reserved ones.
constexpr double kMaxShareMultiple = 2;
constexpr double kPieceTokens = 2000;

double Seconds(Duration time) {
  return std::chrono::duration<double>(time).count();
}

Duration FromSeconds(double seconds) {
  return Duration(static_cast<std::int64_t>(seconds * 1e6));
}

// When a waiting call reaches its wait limit.
struct Deadline {
  TimePoint at;
  Id128 id;
};

struct EarlierDeadline {
  bool operator()(const Deadline& a, const Deadline& b) const {
    return std::tie(a.at, a.id.high, a.id.low) <
           std::tie(b.at, b.id.high, b.id.low);
  }
};

}  // namespace

struct Scheduler::Impl {
  // Calls of one class: short or long.
  struct Class {
    CallQueue queue;
    std::int32_t running = 0;
    DrainRate drain;
    PredictionError first_output_error;
  };
  // An organisation that has sent at least one call to this server.
  struct Organisation {
    double weight = 1;
    std::int32_t running = 0;
    // Contribution to `running_weights`.
    double running_weight = 0;
  };

  const coordination::Clock& clock;
  SchedulerLimits limits;
  Class short_calls;
  Class long_calls;
  RunningCalls running;
  // Deadlines of waiting calls.
  std::set<Deadline, EarlierDeadline> deadlines;
  std::unordered_map<std::string, Organisation> organisations;
  // Sum of the weights of organisations with calls in the server.
  double running_weights = 0;
  // For each piece key, the number of waiting or prefilling calls whose prompt
  // has that piece.
  std::unordered_map<std::int64_t, std::int32_t> expected_pieces;
  CostModel costs;
  ServerSpeed speed;
  TimePoint last_first_output{};
  GlobalShares shares;
  LongTurns long_turns;

  Impl(const coordination::Clock& clock, SchedulerLimits limits)
      : clock(clock), limits(limits), running(clock) {}

  Class& ClassOf(bool long_work) {
    return long_work ? long_calls : short_calls;
  }
  const Class& ClassOf(bool long_work) const {
    return long_work ? long_calls : short_calls;
  }
  static Deadline DeadlineOf(const ScheduledCall& it) {
    return {it.arrived + it.wait_limit, it.request_id};
  }
  Class& Other(const Class& it) {
    return &it == &long_calls ? short_calls : long_calls;
  }

  std::int32_t MaxLongSlots() const {
    return std::max(1, limits.slots / kLongSlotsDivisor);
  }

  bool HasRoom(bool long_work) const {
    if (running.size() >= limits.slots) {
      return false;
    }
    const PrefillLoad window = running.PrefillsOfClass(long_work);
    if (long_work) {
      return long_calls.running < MaxLongSlots() &&
             window.calls < kLongWindowCalls;
    }
    return window.calls < kShortWindowCalls ||
           window.tokens < kShortWindowTokens;
  }

  // Whether only reserved slots are free and another call would take `next`
  // above `kMaxShareMultiple` times its share.
  bool IsReserved(std::string_view next) const {
    if (running.size() < limits.slots - limits.slots / kReserveDivisor) {
      return false;
    }
    auto found = organisations.find(std::string(next));
    const Organisation candidate =
        found == organisations.end() ? Organisation() : found->second;
    const double weights =
        running_weights + (candidate.running == 0 ? candidate.weight : 0);
    return candidate.running + 1 >
           kMaxShareMultiple * candidate.weight / weights * limits.slots;
  }

  void CountRunning(const std::string& organisation, std::int32_t change) {
    Organisation& it = organisations.at(organisation);
    it.running += change;
    running_weights -= it.running_weight;
    it.running_weight = it.running > 0 ? it.weight : 0;
    running_weights += it.running_weight;
  }

  std::optional<ScheduledCall> TryStart(bool long_work) {
    Class& from = ClassOf(long_work);
    if (from.queue.size() == 0 || !HasRoom(long_work) ||
        IsReserved(from.queue.NextOrganisation())) {
      return std::nullopt;
    }
    auto call = from.queue.Pop();
    OnDequeued(*call);
    Other(from).queue.Correct(*call, call->cost);
    call->priority = std::max(call->priority, long_work ? 1 : 0);
    ++from.running;
    CountRunning(call->organisation, 1);
    running.Add(*call);
    return call;
  }

  void UpdateLongTurns() {
    long_turns.Observe(clock.Now(), running,
                       long_calls.running < MaxLongSlots());
  }

  // While long work has priority, it starts first, and no short call starts
  // while a long prompt is in prefill.
  std::optional<ScheduledCall> StartNext() {
    if (!long_turns.has_priority()) {
      auto call = TryStart(false);
      return call ? call : TryStart(true);
    }
    auto call = TryStart(true);
    const bool has_long_prefill = running.PrefillsOfClass(true).calls > 0;
    return call || has_long_prefill ? call : TryStart(false);
  }

  void OnDequeued(const ScheduledCall& call) {
    deadlines.erase(DeadlineOf(call));
    if (call.long_work) {
      long_turns.OnDequeued(call);
    }
    shares.OnDequeued(call.organisation);
  }

  // Predicted time until a call of `organisation` is sent to the server.
  Duration QueueWait(const std::string& organisation, bool long_work) const {
    const Class& in = ClassOf(long_work);
    if (in.queue.size() == 0 && HasRoom(long_work) &&
        !IsReserved(organisation)) {
      return Duration(0);
    }
    const double ahead = in.queue.CostAhead(organisation);
    // A running call has half of its cost left on average; then come the calls
    // ahead in the queue.
    return FromSeconds((ahead + costs.average_cost() / 2) /
                       in.drain.cost_per_second());
  }

  // Predicted time, at normal speed, to finish the prompts of a class that are
  // in prefill in the server. They are half done on average.
  Duration PrefillTimeAhead(bool long_work) const {
    const double pieces =
        running.PrefillsOfClass(long_work).tokens / kPieceTokens;
    const auto piece_time =
        static_cast<double>(speed.prefill_per_piece().count());
    return Duration(static_cast<std::int64_t>(pieces * piece_time / 2));
  }

  // Predicted time from sending `call` to the server to its first output. The
  // server computes one prompt at a time; the time it has spent on the current
  // one is subtracted.
  Duration PredictTimeToFirstOutput(const ScheduledCall& call) const {
    const double piece_time = Seconds(speed.prefill_per_piece()) * Slowness();
    const double own_prefill = call.prefill_tokens / kPieceTokens * piece_time;
    const PrefillLoad ahead = running.PrefillsBefore(call);
    if (ahead.tokens <= 0) {
      return FromSeconds(own_prefill);
    }
    const TimePoint began = std::max(ahead.since, last_first_output);
    const double done = Seconds(clock.Now() - began);
    const double before = ahead.tokens / kPieceTokens * piece_time;
    return FromSeconds(std::max(0.0, before - done) + own_prefill);
  }

  void AddExpectedPieces(const ScheduledCall& call) {
    for (std::int64_t it : call.prefix_keys) {
      ++expected_pieces[it];
    }
  }

  // Call when `call` has computed its pieces or will never do so.
  void RemoveExpectedPieces(const ScheduledCall& call) {
    for (std::int64_t it : call.prefix_keys) {
      auto found = expected_pieces.find(it);
      if (--found->second == 0) {
        expected_pieces.erase(found);
      }
    }
  }

  // Length of the prefix of `chain` that is cached (the first `held` pieces) or
  // that waiting and running calls are about to compute.
  std::int32_t ExpectedPieces(std::span<const std::int64_t> chain,
                              std::int32_t held) const {
    auto n = static_cast<std::size_t>(held);
    while (n < chain.size() && expected_pieces.contains(chain[n])) {
      ++n;
    }
    return static_cast<std::int32_t>(n);
  }

  double Slowness() const {
    return speed.Slowness(clock.Now(), running.IsDecoding());
  }

  bool IsLong(const ScheduledCall& call) const {
    return call.long_work || costs.IsLong(costs.Predict(call));
  }

  // Predicted time until the first output of a call that is pushed now.
  Duration PredictTotalWait(const ScheduledCall& call) const {
    const Duration wait = QueueWait(call.organisation, IsLong(call));
    const double own_prefill =
        call.prefill_tokens / kPieceTokens * Seconds(speed.prefill_per_piece());
    const double prefill = own_prefill + Seconds(PrefillTimeAhead(false));
    return wait + FromSeconds(prefill * Slowness());
  }
};

Scheduler::Scheduler(const coordination::Clock& clock, SchedulerLimits limits)
    : impl_(std::make_unique<Impl>(clock, limits)) {}

Scheduler::~Scheduler() = default;

wire::Reason::type Scheduler::Admit(const ScheduledCall& call) const {
  if (waiting() >= impl_->limits.queued) {
    return wire::Reason::kQueueFull;
  }
  if (impl_->PredictTotalWait(call) > call.wait_limit) {
    return wire::Reason::kWaitLimit;
  }
  return wire::Reason::kNone;
}

Duration Scheduler::RetryAfter(const ScheduledCall& call) const {
  const Duration excess = impl_->PredictTotalWait(call) - call.wait_limit;
  return std::max(excess, Duration(100000));
}

void Scheduler::Push(ScheduledCall call) {
  Impl& it = *impl_;
  call.cost = it.costs.Predict(call);
  call.long_work = call.long_work || it.costs.IsLong(call.cost);
  it.shares.OnQueued(call.organisation, call.weight);
  call.weight *= it.shares.WeightBoost(call.organisation);
  it.organisations[call.organisation].weight = call.weight;
  it.AddExpectedPieces(call);
  it.deadlines.insert(Impl::DeadlineOf(call));
  if (call.long_work) {
    it.long_turns.OnQueued(call);
  }
  CallQueue& queue = it.ClassOf(call.long_work).queue;
  queue.Push(std::move(call));
}

std::optional<ScheduledCall> Scheduler::Next() {
  impl_->UpdateLongTurns();
  auto call = impl_->StartNext();
  impl_->UpdateLongTurns();
  return call;
}

std::optional<Id128> Scheduler::NextExpired() {
  const auto& deadlines = impl_->deadlines;
  if (deadlines.empty() || deadlines.begin()->at >= impl_->clock.Now()) {
    return std::nullopt;
  }
  const Id128 id = deadlines.begin()->id;
  PG_CHECK(Remove(id));
  return id;
}

bool Scheduler::StartsInTime(const ScheduledCall& call) {
  RunningCall& started = impl_->running.At(call.request_id);
  started.call.prefill_tokens = call.prefill_tokens;
  started.predicted = impl_->PredictTimeToFirstOutput(started.call);
  const TimePoint latest_first_output = call.arrived + call.wait_limit;
  const Impl::Class& in = impl_->ClassOf(started.call.long_work);
  const Duration bound = in.first_output_error.Bound(started.predicted);
  return impl_->clock.Now() + bound <= latest_first_output;
}

bool Scheduler::Remove(const Id128& id) {
  auto call = impl_->short_calls.queue.Remove(id);
  if (!call) {
    call = impl_->long_calls.queue.Remove(id);
  }
  if (!call) {
    return false;
  }
  impl_->OnDequeued(*call);
  impl_->RemoveExpectedPieces(*call);
  return true;
}

void Scheduler::OnHandedOver(const Id128& id) {
  RunningCall& call = impl_->running.At(id);
  call.handed_over = impl_->clock.Now();
  call.last_output = call.handed_over;
}

void Scheduler::OnOutput(const Id128& id) {
  RunningCall& call = impl_->running.At(id);
  const TimePoint now = impl_->clock.Now();
  const Duration taken = now - call.last_output;
  if (call.outputs > 0) {
    impl_->speed.OnTokenGap(taken, now);
  } else {
    // The server started on this prompt when the previous one was finished.
    const TimePoint began =
        std::max(call.handed_over, impl_->last_first_output);
    impl_->speed.OnFirstToken(std::chrono::duration_cast<Duration>(now - began),
                              call.call.prefill_tokens);
    impl_->last_first_output = now;
    if (call.call.streamed) {
      Impl::Class& in = impl_->ClassOf(call.call.long_work);
      in.first_output_error.Observe(call.predicted, taken);
    }
    impl_->RemoveExpectedPieces(call.call);
  }
  ++call.outputs;
  call.last_output = now;
}

void Scheduler::Finish(const Id128& id, double tokens) {
  Impl& it = *impl_;
  const RunningCall done = it.running.Remove(id);
  const double cost =
      tokens > 0 ? CostModel::ActualCost(tokens, done.outputs) : 0;
  if (done.outputs == 0) {
    it.RemoveExpectedPieces(done.call);
  }
  Impl::Class& in = it.ClassOf(done.call.long_work);
  --in.running;
  it.CountRunning(done.call.organisation, -1);
  it.short_calls.queue.Correct(done.call, cost - done.call.cost);
  it.long_calls.queue.Correct(done.call, cost - done.call.cost);
  if (cost > 0) {
    it.costs.Record(done.call, cost);
    it.shares.OnServed(done.call.organisation, cost);
    in.drain.OnFinish(cost, it.clock.Now(), in.queue.size() > 0);
  }
}

Duration Scheduler::QueueWait(const std::string& organisation) const {
  return impl_->QueueWait(organisation, false);
}

void Scheduler::OnShareReport(const wire::ShareReport& report) {
  impl_->shares.OnReport(report);
}

wire::ShareReport Scheduler::TakeShareReport() {
  return impl_->shares.EndPeriod();
}

wire::ShareReport Scheduler::RecentService() const {
  return impl_->shares.RecentService();
}

double Scheduler::Slowness() const {
  return impl_->Slowness();
}

void Scheduler::Describe(const wire::ProbeRequest& request,
                         wire::ProbeReply& reply) const {
  const Impl& it = *impl_;
  reply.held_pieces = it.ExpectedPieces(request.prefix_keys, reply.held_pieces);
  reply.in_flight = in_flight();
  reply.queued = static_cast<std::int32_t>(waiting());
  const double uncached = static_cast<double>(request.prompt_tokens) -
                          reply.held_pieces * kPieceTokens;
  const bool long_work = it.costs.IsLong(uncached);
  const Duration wait = it.QueueWait(request.organisation, long_work);
  reply.wait_us = (wait + it.PrefillTimeAhead(long_work)).count();
  reply.prefill_us_per_piece = it.speed.observed_prefill_per_piece().count();
  reply.slowness = it.Slowness();
  reply.long_in_flight = it.long_calls.running;
}

std::size_t Scheduler::waiting() const {
  return impl_->short_calls.queue.size() + impl_->long_calls.queue.size();
}

std::int32_t Scheduler::in_flight() const {
  return impl_->running.size();
}

}  // namespace peridotgate::agent
