#include "bench/policy/simulation_state.h"

#include <algorithm>

namespace peridotgate::bench {
namespace {

constexpr Duration kRetryDelay{5000};
// How often a refused caller retries in the `retry-storm` scenario.
constexpr int kCallerRetries = 3;
constexpr Duration kCallerRetryDelay{300000};

}  // namespace

void Simulation::OnArrival(const Arrival& arrival, int caller_retries) {
  const std::size_t n = requests_.size();
  Request request;
  request.entry = random_() % kEntries;
  request.caller_retries = caller_retries;
  requests_.push_back(std::move(request));
  RequestResult result;
  result.arrival = arrival;
  result.arrival.at = Now();
  result.caller_retry = caller_retries > 0;
  result_.requests.push_back(std::move(result));
  PolicyOf(requests_[n], arrival.target)
      .OnRequest(scenario_.organisations[arrival.organisation],
                 static_cast<double>(arrival.prompt_tokens));
  SelectServer(n, false);
}

routing::RouteQuery Simulation::RouteQueryFor(std::size_t n) const {
  const Arrival& it = ArrivalOf(n);
  const std::uint64_t salt = (n + 1) * 0x9e3779b97f4a7c15;
  return {it.chain, salt, it.target == Target::kModel ? 1U : 2U,
          it.prompt_tokens, it.expected_output_tokens};
}

void Simulation::SelectServer(std::size_t n, bool second) {
  EntryPolicy& policy = PolicyOf(requests_[n], ArrivalOf(n).target);
  auto seats = policy.Plan(RouteQueryFor(n), requests_[n].excluded);
  if (seats.empty()) {
    RejectRequest(n);
    return;
  }
  if (!policy.needs_probes()) {
    Send(n, {seats.front(), Duration(0), 0}, second);
    return;
  }
  Probe(n, seats, [this, n, second, seats](auto servers) mutable {
    routing::Arrange(servers, seats);
    EntryPolicy& policy = PolicyOf(requests_[n], ArrivalOf(n).target);
    auto more = policy.Widen(RouteQueryFor(n), servers, requests_[n].excluded);
    if (more.empty()) {
      Choose(n, servers, second);
      return;
    }
    seats.insert(seats.end(), more.begin(), more.end());
    Probe(n, more, [this, n, second, servers, seats](auto others) mutable {
      servers.insert(servers.end(), others.begin(), others.end());
      routing::Arrange(servers, seats);
      Choose(n, servers, second);
    });
  });
}

void Simulation::Probe(std::size_t n,
                       const std::vector<SeatIndex>& seats,
                       std::function<void(Probed)> on_replies) {
  result_.probes += static_cast<std::int64_t>(seats.size());
  Duration delay{0};
  for (SeatIndex it : seats) {
    delay =
        std::max(delay, Delay(requests_[n], ServerAt(ArrivalOf(n).target, it)));
  }
  ScheduleAfter(delay,
                [this, n, seats, delay, on_replies = std::move(on_replies)] {
                  Probed servers;
                  for (SeatIndex it : seats) {
                    servers.push_back(AnswerProbe(n, it));
                  }
                  ScheduleAfter(delay, [servers = std::move(servers),
                                        on_replies] { on_replies(servers); });
                });
}

routing::ProbedServer Simulation::AnswerProbe(std::size_t n, SeatIndex seat) {
  const Arrival& arrival = ArrivalOf(n);
  const Server& server = ServerAt(arrival.target, seat);
  wire::ProbeRequest request;
  request.organisation = scenario_.organisations[arrival.organisation];
  request.prompt_tokens = arrival.prompt_tokens;
  request.prefix_keys = PrefixKeysOf(arrival);
  wire::ProbeReply reply;
  reply.held_pieces = server.cache.HeldPieces(request.prefix_keys);
  server.queue->Describe(request, reply);
  routing::ProbedServer it;
  it.seat = seat;
  it.held_pieces = reply.held_pieces;
  it.in_flight = reply.in_flight;
  it.queued = reply.queued;
  it.queue_wait = Duration(reply.wait_us);
  it.prefill_per_piece = Duration(reply.prefill_us_per_piece);
  it.slowness = reply.slowness > 0 ? reply.slowness : 1;
  it.long_in_flight = reply.long_in_flight;
  it.leaving = !server.up;
  return it;
}

void Simulation::Choose(std::size_t n, const Probed& servers, bool second) {
  EntryPolicy& policy = PolicyOf(requests_[n], ArrivalOf(n).target);
  auto choice = policy.Choose(servers, RouteQueryFor(n));
  if (!choice) {
    if (!second) {
      RejectRequest(n);
    }
    return;
  }
  Send(n, *choice, second);
}

void Simulation::Send(std::size_t n,
                      const routing::Choice& choice,
                      bool second) {
  if (requests_[n].done || (second && requests_[n].winning_attempt)) {
    return;
  }
  Server& server = ServerAt(ArrivalOf(n).target, choice.seat);
  const std::size_t id = attempts_.size();
  attempts_.push_back({n, server.index, second, AttemptState::kSent, Now(),
                       choice.predicted, choice.priority});
  requests_[n].open_attempts.push_back(id);
  ++result_.requests[n].attempts;
  result_.second_attempts += second ? 1 : 0;
  EntryPolicy& policy = PolicyOf(requests_[n], ArrivalOf(n).target);
  policy.OnSent(choice.seat);
  ScheduleAfter(Delay(requests_[n], server),
                [this, id] { OnCallReceived(id); });
  if (!second && policy.second_attempts() && ArrivalOf(n).repeatable) {
    ScheduleAfter(policy.second_attempts()->Delay(choice.predicted),
                  [this, n] { TrySecondAttempt(n); });
  }
}

void Simulation::TrySecondAttempt(std::size_t n) {
  Request& request = requests_[n];
  if (request.done || request.winning_attempt ||
      request.open_attempts.size() != 1) {
    return;
  }
  EntryPolicy& policy = PolicyOf(request, ArrivalOf(n).target);
  if (!policy.second_attempts()->TryStart(
          static_cast<double>(ArrivalOf(n).prompt_tokens))) {
    return;
  }
  const Attempt& first = attempts_[request.open_attempts.front()];
  request.excluded.push_back(SeatIndexOf(*servers_[first.server]));
  SelectServer(n, true);
}

void Simulation::RejectRequest(std::size_t n) {
  Request& request = requests_[n];
  request.done = true;
  result_.requests[n].refused = true;
  result_.requests[n].finished = Now();
  if (request.caller_retries < kCallerRetries &&
      scenario_.name == "retry-storm") {
    const Arrival arrival = ArrivalOf(n);
    const int caller_retries = request.caller_retries + 1;
    const Duration jitter(static_cast<std::int64_t>(
        random_() % static_cast<std::uint64_t>(kCallerRetryDelay.count())));
    ScheduleAfter(kCallerRetryDelay + jitter, [this, arrival, caller_retries] {
      OnArrival(arrival, caller_retries);
    });
  }
}

void Simulation::OnAttemptFailed(std::size_t id) {
  const std::size_t n = attempts_[id].request;
  Request& request = requests_[n];
  if (request.done) {
    return;
  }
  EntryPolicy& policy = PolicyOf(request, ArrivalOf(n).target);
  const SeatIndex seat = SeatIndexOf(*servers_[attempts_[id].server]);
  policy.OnDone(seat);
  std::erase(request.open_attempts, id);
  request.excluded.push_back(seat);
  if (request.winning_attempt == id) {
    request.winning_attempt.reset();
  }
  if (!request.open_attempts.empty()) {
    return;
  }
  const std::string& organisation =
      scenario_.organisations[ArrivalOf(n).organisation];
  if (!policy.MayRetry(organisation, result_.requests[n].attempts)) {
    RejectRequest(n);
    return;
  }
  ScheduleAfter(kRetryDelay, [this, n] { SelectServer(n, false); });
}

void Simulation::OnFirstToken(Server& server, const FirstToken& first) {
  Attempt& attempt = attempts_[first.attempt];
  const std::size_t n = attempt.request;
  RequestResult& result = result_.requests[n];
  result.recomputed_pieces +=
      HeldElsewhere(server, result.arrival, first.cached_pieces);
  attempt.has_output = true;
  Request& request = requests_[n];
  if (request.winning_attempt) {
    return;
  }
  request.winning_attempt = first.attempt;
  result.server = server.index;
  result.held_pieces = static_cast<std::int64_t>(first.cached_pieces);
  const Duration taken = Now() + Delay(request, server) - result.arrival.at;
  result.first_token = result.first_token.value_or(taken);
  auto* second = PolicyOf(request, result.arrival.target).second_attempts();
  if (second != nullptr && !attempt.second) {
    second->OnFirstToken(attempt.predicted, Now() - attempt.sent);
  }
  CancelOthers(n, first.attempt);
}

void Simulation::CancelOthers(std::size_t n, std::size_t winning_attempt) {
  const std::vector<std::size_t> open_attempts = requests_[n].open_attempts;
  for (std::size_t id : open_attempts) {
    if (id != winning_attempt) {
      ScheduleAfter(2 * kCrossDataCentreDelay,
                    [this, id] { CancelAttempt(id); });
    }
  }
}

}  // namespace peridotgate::bench
