#include "bench/policy/simulation_state.h"

#include <algorithm>

#include "coordination/check.h"

namespace peridotgate::bench {
namespace {

// Delay range of cache events; one in `kEventsPerLoss` is lost.
constexpr std::int64_t kMinEventDelayUs = 20000;
constexpr std::int64_t kMaxEventDelayUs = 150000;
constexpr std::uint64_t kEventsPerLoss = 100;

}  // namespace

std::vector<routing::ServerSeat> Simulation::ModelSeats() {
  return Seats("model-", kModelServers);
}

std::vector<routing::ServerSeat> Simulation::ServiceSeats() {
  return Seats("service-", kServices);
}

const Arrival& Simulation::ArrivalOf(std::size_t n) const {
  return result_.requests[n].arrival;
}

std::vector<std::int64_t> Simulation::PrefixKeysOf(const Arrival& arrival) {
  return {arrival.chain.begin(), arrival.chain.end()};
}

ScheduledCall Simulation::ScheduledCallFor(std::size_t id) const {
  const Attempt& attempt = attempts_[id];
  const Arrival& arrival = ArrivalOf(attempt.request);
  ScheduledCall call;
  call.request_id = IdOf(id);
  call.organisation = scenario_.organisations[arrival.organisation];
  call.kind = arrival.kind;
  call.weight = scenario_.shares[arrival.organisation];
  const auto held =
      servers_[attempt.server]->cache.HeldPieces(PrefixKeysOf(arrival));
  call.prefill_tokens = static_cast<double>(
      std::max<std::int64_t>(1, arrival.prompt_tokens - held * 2000));
  call.cost =
      call.prefill_tokens + static_cast<double>(arrival.expected_output_tokens);
  call.wait_limit = arrival.at + arrival.wait_limit - Now();
  call.arrived = clock_.Now();
  call.prefix_keys = PrefixKeysOf(arrival);
  call.priority = attempt.priority;
  call.streamed = arrival.target == Target::kModel;
  return call;
}

void Simulation::SendFailure(std::size_t id) {
  const Attempt& attempt = attempts_[id];
  ScheduleAfter(Delay(requests_[attempt.request], *servers_[attempt.server]),
                [this, id] { OnAttemptFailed(id); });
}

void Simulation::OnCallReceived(std::size_t id) {
  Attempt& attempt = attempts_[id];
  Server& server = *servers_[attempt.server];
  if (attempt.state == AttemptState::kDone) {
    return;
  }
  if (!server.up ||
      server.queue->Admit(ScheduledCallFor(id)) != wire::Reason::kNone) {
    attempt.state = AttemptState::kDone;
    SendFailure(id);
    return;
  }
  attempt.state = AttemptState::kQueued;
  ++QueuedCalls(attempt);
  server.queue->Push(ScheduledCallFor(id));
  DispatchCalls(server);
}

int& Simulation::QueuedCalls(const Attempt& attempt) {
  queued_calls_.resize(scenario_.organisations.size());
  return queued_calls_[ArrivalOf(attempt.request).organisation];
}

void Simulation::DispatchCalls(Server& server) {
  while (auto expired = server.queue->NextExpired()) {
    Attempt& attempt = attempts_[expired->low];
    --QueuedCalls(attempt);
    attempt.state = AttemptState::kDone;
    SendFailure(expired->low);
  }
  while (auto next = server.queue->Next()) {
    const std::size_t id = next->request_id.low;
    Attempt& attempt = attempts_[id];
    PG_CHECK(attempt.state == AttemptState::kQueued);
    --QueuedCalls(attempt);
    const Arrival& arrival = ArrivalOf(attempt.request);
    if (!server.up || !server.queue->StartsInTime(ScheduledCallFor(id))) {
      attempt.state = AttemptState::kDone;
      server.queue->Finish(next->request_id, 0);
      SendFailure(id);
      continue;
    }
    attempt.state = AttemptState::kRunning;
    server.queue->OnHandedOver(next->request_id);
    server.engine.Submit({id, arrival.organisation, arrival.chain,
                          arrival.prompt_tokens, arrival.output_tokens,
                          next->priority});
    result_.requests[attempt.request].dispatch_delay = Now() - arrival.at;
  }
  ScheduleIteration(server);
}

void Simulation::ScheduleIteration(Server& server) {
  if (server.iteration_scheduled || server.engine.idle()) {
    return;
  }
  server.iteration_scheduled = true;
  const Duration time = server.engine.NextIterationTime(server.slowdown);
  ScheduleAfter(time, [this, &server, incarnation = server.incarnation] {
    if (server.incarnation == incarnation) {
      server.iteration_scheduled = false;
      RunIteration(server);
    }
  });
}

void Simulation::RunIteration(Server& server) {
  const Iteration done = server.engine.RunIteration();
  for (const BlockChange& it : done.blocks) {
    PublishCacheEvent(server, it);
  }
  for (const FirstToken& it : done.first_tokens) {
    OnFirstToken(server, it);
  }
  for (const JobProgress& it : done.progress) {
    attempts_[it.attempt].tokens += static_cast<double>(it.tokens);
    attempts_[it.attempt].engine_us += it.engine_us;
    RecordService(server, it);
  }
  for (std::size_t id : done.output) {
    server.queue->OnOutput(IdOf(id));
  }
  for (std::size_t id : done.finished) {
    OnFinished(server, id);
  }
  DispatchCalls(server);
}

void Simulation::PublishCacheEvent(Server& server, const BlockChange& change) {
  if (random_() % kEventsPerLoss == 0) {
    return;
  }
  const auto span =
      static_cast<std::uint64_t>(kMaxEventDelayUs - kMinEventDelayUs);
  const Duration delay(kMinEventDelayUs +
                       static_cast<std::int64_t>(random_() % span));
  ScheduleAfter(delay, [&server, change, incarnation = server.incarnation] {
    if (server.incarnation != incarnation) {
      return;
    }
    if (change.stored) {
      server.cache.Store(change.key, change.key);
    } else {
      server.cache.Remove(change.key);
    }
  });
}

std::int64_t Simulation::HeldElsewhere(const Server& server,
                                       const Arrival& arrival,
                                       std::size_t cached_pieces) const {
  std::int64_t n = 0;
  for (std::size_t i = cached_pieces; i < arrival.chain.size(); ++i) {
    const bool elsewhere =
        std::any_of(servers_.begin(), servers_.end(), [&](const auto& it) {
          return it->index != server.index &&
                 it->engine.Holds(arrival.chain[i]);
        });
    n += elsewhere ? 1 : 0;
  }
  return n;
}

void Simulation::CancelAttempt(std::size_t id) {
  Attempt& attempt = attempts_[id];
  Server& server = *servers_[attempt.server];
  if (attempt.state == AttemptState::kQueued) {
    server.queue->Remove(IdOf(id));
    --QueuedCalls(attempt);
  } else if (attempt.state == AttemptState::kRunning) {
    server.engine.Cancel(id);
    server.queue->Finish(IdOf(id), std::max(1.0, attempt.tokens));
    result_.unused_engine_us += attempt.engine_us;
  }
  if (attempt.state != AttemptState::kDone) {
    attempt.state = AttemptState::kDone;
    PolicyOf(requests_[attempt.request], ArrivalOf(attempt.request).target)
        .OnDone(SeatIndexOf(server));
  }
  std::erase(requests_[attempt.request].open_attempts, id);
  DispatchCalls(server);
}

void Simulation::OnFinished(Server& server, std::size_t id) {
  Attempt& attempt = attempts_[id];
  attempt.state = AttemptState::kDone;
  server.queue->Finish(IdOf(id), std::max(1.0, attempt.tokens));
  const std::size_t n = attempt.request;
  std::erase(requests_[n].open_attempts, id);
  PolicyOf(requests_[n], ArrivalOf(n).target).OnDone(SeatIndexOf(server));
  if (requests_[n].winning_attempt != id || requests_[n].done) {
    result_.unused_engine_us += attempt.engine_us;
    return;
  }
  requests_[n].done = true;
  result_.requests[n].served = true;
  result_.requests[n].finished = Now();
}

}  // namespace peridotgate::bench
