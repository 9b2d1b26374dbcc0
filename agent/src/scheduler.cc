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

// Long work may hold this part of the slots.
constexpr std::int32_t kLongPart = 4;
// Calls in the server that have shown no output yet, by class.
constexpr double kShortWindowTokens = 4000;
constexpr std::int32_t kShortWindowCalls = 1;
constexpr std::int32_t kLongWindowCalls = 1;
// Slots that only an organisation below its share may take: what is lent of a
// share is claimed back at once.
constexpr std::int32_t kReservePart = 8;
// Times its share of the slots from which on an organisation leaves them free.
constexpr double kLentShares = 2;
constexpr double kPieceTokens = 2000;

double Seconds(Duration time) {
  return std::chrono::duration<double>(time).count();
}

Duration FromSeconds(double seconds) {
  return Duration(static_cast<std::int64_t>(seconds * 1e6));
}

// When a call that waits has waited for as long as it may.
struct Deadline {
  TimePoint at;
  Id128 id;
};

struct Sooner {
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
  // An organisation that was ever seen here.
  struct Organisation {
    double weight = 1;
    std::int32_t running = 0;
    double counted_weight = 0;  // In `running_weights`.
  };

  const coordination::Clock& clock;
  SchedulerLimits limits;
  Class shorts;
  Class longs;
  RunningCalls running;
  std::set<Deadline, Sooner> deadlines;  // Of calls that wait.
  std::unordered_map<std::string, Organisation> organisations;
  double running_weights = 0;  // Of organisations with calls in the server.
  // Calls that wait or compute their prompt, by the pieces it has.
  std::unordered_map<std::int64_t, std::int32_t> expected_pieces;
  CostModel costs;
  ServerSpeed speed;
  TimePoint last_first_output{};
  GlobalShares shares;
  LongTurns long_turns;

  Impl(const coordination::Clock& clock, SchedulerLimits limits)
      : clock(clock), limits(limits), running(clock) {}

  Class& ClassOf(bool long_work) { return long_work ? longs : shorts; }
  const Class& ClassOf(bool long_work) const {
    return long_work ? longs : shorts;
  }
  static Deadline DeadlineOf(const ScheduledCall& it) {
    return {it.arrived + it.wait_limit, it.request_id};
  }
  Class& Other(const Class& it) { return &it == &longs ? shorts : longs; }

  std::int32_t LongSlots() const {
    return std::max(1, limits.slots / kLongPart);
  }

  bool HasRoom(bool long_work) const {
    if (running.size() >= limits.slots) {
      return false;
    }
    const PromptLoad window = running.PromptsOf(long_work);
    if (long_work) {
      return longs.running < LongSlots() && window.calls < kLongWindowCalls;
    }
    return window.calls < kShortWindowCalls ||
           window.tokens < kShortWindowTokens;
  }

  // Whether free slots are kept for organisations with less than `next` has.
  bool IsReserved(std::string_view next) const {
    if (running.size() < limits.slots - limits.slots / kReservePart) {
      return false;
    }
    auto known = organisations.find(std::string(next));
    const Organisation own =
        known == organisations.end() ? Organisation() : known->second;
    const double weights =
        running_weights + (own.running == 0 ? own.weight : 0);
    return own.running + 1 > kLentShares * own.weight / weights * limits.slots;
  }

  void CountRunning(const std::string& organisation, std::int32_t change) {
    Organisation& it = organisations.at(organisation);
    it.running += change;
    running_weights -= it.counted_weight;
    it.counted_weight = it.running > 0 ? it.weight : 0;
    running_weights += it.counted_weight;
  }

  std::optional<ScheduledCall> Take(bool long_work) {
    Class& from = ClassOf(long_work);
    if (from.queue.size() == 0 || !HasRoom(long_work) ||
        IsReserved(from.queue.NextOrganisation())) {
      return std::nullopt;
    }
    auto call = from.queue.Pop();
    OnLeft(*call);
    Other(from).queue.Correct(*call, call->cost);
    call->priority = std::max(call->priority, long_work ? 1 : 0);
    ++from.running;
    CountRunning(call->organisation, 1);
    running.Add(*call);
    return call;
  }

  void ObserveTurns() {
    long_turns.Observe(clock.Now(), running, longs.running < LongSlots());
  }

  // Long work that is due goes first, and what it computes has the server to
  // itself for the time of its turn.
  std::optional<ScheduledCall> TakeNext() {
    if (!long_turns.due()) {
      auto call = Take(false);
      return call ? call : Take(true);
    }
    auto call = Take(true);
    const bool computes = running.PromptsOf(true).calls > 0;
    return call || computes ? call : Take(false);
  }

  void OnLeft(const ScheduledCall& call) {
    deadlines.erase(DeadlineOf(call));
    if (call.long_work) {
      long_turns.OnTaken(call);
    }
    shares.OnTaken(call.organisation);
  }

  // The time until a call of `organisation` is handed to the server.
  Duration QueueWait(const std::string& organisation, bool long_work) const {
    const Class& in = ClassOf(long_work);
    if (in.queue.size() == 0 && HasRoom(long_work) &&
        !IsReserved(organisation)) {
      return Duration(0);
    }
    const double ahead = in.queue.CostAhead(organisation);
    // Until the next call leaves, and then those ahead.
    return FromSeconds((ahead + costs.average_cost() / 2) /
                       in.drain.cost_per_second());
  }

  // Prompts of a class being computed inside the server, at its normal speed.
  Duration PrefillAhead(bool long_work) const {
    const double pieces = running.PromptsOf(long_work).tokens / kPieceTokens;
    const auto piece = static_cast<double>(speed.prefill_per_piece().count());
    return Duration(static_cast<std::int64_t>(pieces * piece / 2));
  }

  // From handing `call` over to its first output. The server computes one
  // prompt after the other and has been at the present one for a while.
  Duration UntilFirstOutput(const ScheduledCall& call) const {
    const double piece = Seconds(speed.prefill_per_piece()) * Slowness();
    const double own = call.prefill_tokens / kPieceTokens * piece;
    const PromptLoad ahead = running.PromptsBefore(call);
    if (ahead.tokens <= 0) {
      return FromSeconds(own);
    }
    const TimePoint began = std::max(ahead.since, last_first_output);
    const double done = Seconds(clock.Now() - began);
    const double before = ahead.tokens / kPieceTokens * piece;
    return FromSeconds(std::max(0.0, before - done) + own);
  }

  void ExpectPieces(const ScheduledCall& call) {
    for (std::int64_t it : call.prefix_keys) {
      ++expected_pieces[it];
    }
  }

  // The call computed its pieces, or never will.
  void ForgetPieces(const ScheduledCall& call) {
    for (std::int64_t it : call.prefix_keys) {
      auto found = expected_pieces.find(it);
      if (--found->second == 0) {
        expected_pieces.erase(found);
      }
    }
  }

  // Leading pieces of `chain` from `held` on that some call will have computed.
  std::int32_t ExpectedPieces(std::span<const std::int64_t> chain,
                              std::int32_t held) const {
    auto n = static_cast<std::size_t>(held);
    while (n < chain.size() && expected_pieces.contains(chain[n])) {
      ++n;
    }
    return static_cast<std::int32_t>(n);
  }

  double Slowness() const {
    return speed.Slowness(clock.Now(), running.Decoding());
  }

  bool IsLong(const ScheduledCall& call) const {
    return call.long_work || costs.IsLong(costs.Predict(call));
  }

  // The time until the first output of a call that is pushed now.
  Duration Expected(const ScheduledCall& call) const {
    const Duration wait = QueueWait(call.organisation, IsLong(call));
    const double own =
        call.prefill_tokens / kPieceTokens * Seconds(speed.prefill_per_piece());
    const double prefill = own + Seconds(PrefillAhead(false));
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
  if (impl_->Expected(call) > call.wait_limit) {
    return wire::Reason::kWaitLimit;
  }
  return wire::Reason::kNone;
}

Duration Scheduler::RetryAfter(const ScheduledCall& call) const {
  const Duration excess = impl_->Expected(call) - call.wait_limit;
  return std::max(excess, Duration(100000));
}

void Scheduler::Push(ScheduledCall call) {
  Impl& it = *impl_;
  call.cost = it.costs.Predict(call);
  call.long_work = call.long_work || it.costs.IsLong(call.cost);
  it.shares.OnWaiting(call.organisation, call.weight);
  call.weight *= it.shares.BoostOf(call.organisation);
  it.organisations[call.organisation].weight = call.weight;
  it.ExpectPieces(call);
  it.deadlines.insert(Impl::DeadlineOf(call));
  if (call.long_work) {
    it.long_turns.OnWaiting(call);
  }
  CallQueue& queue = it.ClassOf(call.long_work).queue;
  queue.Push(std::move(call));
}

std::optional<ScheduledCall> Scheduler::Next() {
  impl_->ObserveTurns();
  auto call = impl_->TakeNext();
  impl_->ObserveTurns();
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
  started.predicted = impl_->UntilFirstOutput(started.call);
  const TimePoint last = call.arrived + call.wait_limit;
  const Impl::Class& in = impl_->ClassOf(started.call.long_work);
  const Duration most = in.first_output_error.Bound(started.predicted);
  return impl_->clock.Now() + most <= last;
}

bool Scheduler::Remove(const Id128& id) {
  auto call = impl_->shorts.queue.Remove(id);
  if (!call) {
    call = impl_->longs.queue.Remove(id);
  }
  if (!call) {
    return false;
  }
  impl_->OnLeft(*call);
  impl_->ForgetPieces(*call);
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
    impl_->speed.OnGap(taken, now);
  } else {
    // Until the last prompt was computed, the server was at that one.
    const TimePoint began =
        std::max(call.handed_over, impl_->last_first_output);
    impl_->speed.OnFirstToken(std::chrono::duration_cast<Duration>(now - began),
                              call.call.prefill_tokens);
    impl_->last_first_output = now;
    if (call.call.streamed) {
      Impl::Class& in = impl_->ClassOf(call.call.long_work);
      in.first_output_error.OnSeen(call.predicted, taken);
    }
    impl_->ForgetPieces(call.call);
  }
  ++call.outputs;
  call.last_output = now;
}

void Scheduler::Finish(const Id128& id, double tokens) {
  Impl& it = *impl_;
  const RunningCall done = it.running.Take(id);
  const double cost = tokens > 0 ? CostModel::Actual(tokens, done.outputs) : 0;
  if (done.outputs == 0) {
    it.ForgetPieces(done.call);
  }
  Impl::Class& in = it.ClassOf(done.call.long_work);
  --in.running;
  it.CountRunning(done.call.organisation, -1);
  it.shorts.queue.Correct(done.call, cost - done.call.cost);
  it.longs.queue.Correct(done.call, cost - done.call.cost);
  if (cost > 0) {
    it.costs.Learn(done.call, cost);
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
  return impl_->shares.Given();
}

double Scheduler::Slowness() const {
  return impl_->Slowness();
}

void Scheduler::FillProbeReply(const wire::ProbeRequest& request,
                               wire::ProbeReply& reply) const {
  const Impl& it = *impl_;
  reply.held_pieces = it.ExpectedPieces(request.prefix_keys, reply.held_pieces);
  reply.in_flight = in_flight();
  reply.queued = static_cast<std::int32_t>(waiting());
  const double uncached = static_cast<double>(request.prompt_tokens) -
                          reply.held_pieces * kPieceTokens;
  const bool long_work = it.costs.IsLong(uncached);
  const Duration wait = it.QueueWait(request.organisation, long_work);
  reply.wait_us = (wait + it.PrefillAhead(long_work)).count();
  reply.prefill_us_per_piece = it.speed.shown_prefill_per_piece().count();
  reply.slowness = it.Slowness();
  reply.long_in_flight = it.longs.running;
}

std::size_t Scheduler::waiting() const {
  return impl_->shorts.queue.size() + impl_->longs.queue.size();
}

std::int32_t Scheduler::in_flight() const {
  return impl_->running.size();
}

}  // namespace peridotgate::agent
