#include "bench/policy/simulation_state.h"

#include <algorithm>

namespace peridotgate::bench {
namespace {

constexpr std::size_t kDataCentres = 3;
constexpr Duration kSameDataCentreDelay{200};
// Interval and delay of the share reports that servers exchange.
constexpr Duration kSharePeriod{500000};
constexpr Duration kShareDelay{200000};

}  // namespace

Simulation::Simulation(const Scenario& scenario,
                       const PolicyParts& parts,
                       std::uint64_t seed)
    : scenario_(scenario), random_(seed) {
  MakeServers(parts);
  for (std::size_t i = 0; i < kEntries; ++i) {
    models_.push_back(parts.make_entry(clock_, ModelSeats(), i));
    services_.push_back(parts.make_entry(clock_, ServiceSeats(), i));
  }
}

RunResult Simulation::Run() {
  for (const Arrival& it : scenario_.arrivals) {
    ScheduleAt(it.at, [this, &it] { OnArrival(it, 0); });
  }
  for (const Disturbance& it : scenario_.disturbances) {
    ScheduleAt(it.from, [this, &it] { BeginDisturbance(it); });
    ScheduleAt(it.to, [this, &it] { EndDisturbance(it); });
  }
  for (Duration at{0}; at < scenario_.length; at += kServiceSample) {
    ScheduleAt(at, [this] { TakeServiceSample(); });
  }
  for (Duration at{0}; at < scenario_.length; at += kSharePeriod) {
    ScheduleAt(at, [this] { ExchangeShares(); });
  }
  while (!events_.empty()) {
    Event next = events_.top();
    events_.pop();
    clock_.Advance(next.at - Now());
    next.run();
  }
  return std::move(result_);
}

void Simulation::ScheduleAt(Duration at, std::function<void()> run) {
  events_.push({at, next_event_++, std::move(run)});
}

void Simulation::ScheduleAfter(Duration delay, std::function<void()> run) {
  ScheduleAt(Now() + delay, std::move(run));
}

std::vector<routing::ServerSeat> Simulation::Seats(const char* name,
                                                   std::size_t n) {
  std::vector<routing::ServerSeat> seats;
  for (std::size_t i = 0; i < n; ++i) {
    seats.push_back({name + std::to_string(i), 1.0});
  }
  return seats;
}

void Simulation::MakeServers(const PolicyParts& parts) {
  for (std::size_t i = 0; i < kModelServers + kServices; ++i) {
    auto server = std::make_unique<Server>();
    server->index = i;
    server->target = i < kModelServers ? Target::kModel : Target::kService;
    server->queue = parts.make_queue(clock_);
    server->cache.Reset(1, 1);
    servers_.push_back(std::move(server));
  }
}

Server& Simulation::ServerAt(Target target, SeatIndex seat) {
  return *servers_[target == Target::kModel ? seat : kModelServers + seat];
}

EntryPolicy& Simulation::PolicyOf(const Request& request, Target target) {
  auto& all = target == Target::kModel ? models_ : services_;
  return *all[request.entry];
}

SeatIndex Simulation::SeatIndexOf(const Server& server) {
  return static_cast<SeatIndex>(server.index < kModelServers
                                    ? server.index
                                    : server.index - kModelServers);
}

Duration Simulation::Delay(const Request& request, const Server& server) {
  return request.entry == server.index % kDataCentres ? kSameDataCentreDelay
                                                      : kCrossDataCentreDelay;
}

void Simulation::RecordService(const Server& server, const JobProgress& it) {
  if (server.target != Target::kModel) {
    return;
  }
  sample_.engine_us.resize(scenario_.organisations.size());
  sample_.engine_us[it.organisation] += it.engine_us;
  result_.engine_us += it.engine_us;
}

void Simulation::ExchangeShares() {
  for (auto& from : servers_) {
    const wire::ShareReport report = from->queue->TakeShareReport();
    for (auto& to : servers_) {
      if (to != from && to->target == from->target) {
        ScheduleAfter(kShareDelay,
                      [&to = *to, report] { to.queue->OnShareReport(report); });
      }
    }
  }
}

void Simulation::TakeServiceSample() {
  sample_.engine_us.resize(scenario_.organisations.size());
  queued_calls_.resize(scenario_.organisations.size());
  for (int it : queued_calls_) {
    sample_.backlogged.push_back(it > 0);
  }
  result_.service.push_back(std::move(sample_));
  sample_ = {};
}

void Simulation::BeginDisturbance(const Disturbance& it) {
  Server& server = *servers_[it.server];
  server.slowdown = it.slowdown;
  if (!it.crash) {
    return;
  }
  server.up = false;
  server.iteration_scheduled = false;
  ++server.incarnation;
  server.cache.Reset(0, 0);
  for (std::size_t id : server.engine.Crash()) {
    attempts_[id].state = AttemptState::kDone;
    server.queue->Finish(IdOf(id), 1);
    result_.unused_engine_us += attempts_[id].engine_us;
    SendFailure(id);
  }
  DispatchCalls(server);
}

void Simulation::EndDisturbance(const Disturbance& it) {
  Server& server = *servers_[it.server];
  server.slowdown = 1;
  server.up = true;
  if (it.crash) {
    server.cache.Reset(static_cast<std::int64_t>(server.incarnation), 1);
  }
}

RunResult Run(const Scenario& scenario,
              const PolicyParts& policy,
              std::uint64_t seed) {
  return Simulation(scenario, policy, seed).Run();
}

}  // namespace peridotgate::bench
