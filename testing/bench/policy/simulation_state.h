// State of one simulation run: entries, agents and fake engines.
#ifndef TESTING_BENCH_POLICY_SIMULATION_STATE_H_
#define TESTING_BENCH_POLICY_SIMULATION_STATE_H_

#include <functional>
#include <memory>
#include <queue>
#include <random>
#include <vector>

#include "agent/cache_index.h"
#include "bench/policy/fake_engine.h"
#include "bench/policy/simulation.h"

namespace peridotgate::bench {

using coordination::ManualClock;

inline constexpr std::size_t kEntries = 3;
inline constexpr std::size_t kModelServers = 9;
inline constexpr std::size_t kServices = 3;
inline constexpr Duration kCrossDataCentreDelay{1000};

struct Server {
  std::size_t index = 0;
  Target target = Target::kModel;
  FakeEngine engine{EngineSpeed()};
  std::unique_ptr<ServerQueue> queue;
  agent::CacheIndex cache;
  std::uint64_t incarnation = 1;
  double slowdown = 1;
  bool up = true;
  bool iteration_scheduled = false;
};

enum class AttemptState { kSent, kQueued, kRunning, kDone };

struct Attempt {
  std::size_t request = 0;
  std::size_t server = 0;
  bool second = false;
  AttemptState state = AttemptState::kSent;
  Duration sent{0};
  Duration predicted{0};
  std::int32_t priority = 0;
  double tokens = 0;     // Tokens computed so far.
  double engine_us = 0;  // Engine time spent on them.
  bool has_output = false;
};

struct Request {
  std::size_t entry = 0;
  std::vector<SeatIndex> excluded;
  std::vector<std::size_t> open_attempts;  // Attempts in flight.
  std::optional<std::size_t> winning_attempt;
  bool done = false;
  int caller_retries = 0;  // Earlier tries by the same caller.
};

/** Runs the events of one scenario in order of time. */
class Simulation {
 public:
  Simulation(const Scenario& scenario,
             const PolicyParts& parts,
             std::uint64_t seed);

  RunResult Run();

 private:
  struct Event {
    Duration at;
    std::uint64_t number;
    std::function<void()> run;
    bool operator<(const Event& other) const {
      return at != other.at ? at > other.at : number > other.number;
    }
  };

  Duration Now() const { return clock_.Now().time_since_epoch(); }
  void ScheduleAt(Duration at, std::function<void()> run);
  void ScheduleAfter(Duration delay, std::function<void()> run);

  static std::vector<routing::ServerSeat> Seats(const char* name,
                                                std::size_t n);
  static std::vector<routing::ServerSeat> ModelSeats();
  static std::vector<routing::ServerSeat> ServiceSeats();

  void MakeServers(const PolicyParts& parts);

  Server& ServerAt(Target target, SeatIndex seat);
  EntryPolicy& PolicyOf(const Request& request, Target target);
  static SeatIndex SeatIndexOf(const Server& server);
  static Duration Delay(const Request& request, const Server& server);

  // Entry side.

  void OnArrival(const Arrival& arrival, int caller_retries);

  const Arrival& ArrivalOf(std::size_t n) const;

  routing::RouteQuery RouteQueryFor(std::size_t n) const;

  void SelectServer(std::size_t n, bool second);

  using Probed = std::vector<routing::ProbedServer>;

  // Probes all `seats` and calls `on_replies` with the replies. Replies
  // describe the servers at the time when the slowest probe arrives.
  void Probe(std::size_t n,
             const std::vector<SeatIndex>& seats,
             std::function<void(Probed)> on_replies);

  routing::ProbedServer AnswerProbe(std::size_t n, SeatIndex seat);

  static std::vector<std::int64_t> PrefixKeysOf(const Arrival& arrival);

  void Choose(std::size_t n, const Probed& servers, bool second);

  void Send(std::size_t n, const routing::Choice& choice, bool second);

  void TrySecondAttempt(std::size_t n);

  void RejectRequest(std::size_t n);

  // Runs when the entry is notified that an attempt failed.
  void OnAttemptFailed(std::size_t id);

  // Agent and engine side.

  static Id128 IdOf(std::size_t attempt) { return {attempt + 1, attempt}; }

  ScheduledCall ScheduledCallFor(std::size_t id) const;

  void SendFailure(std::size_t id);

  void OnCallReceived(std::size_t id);

  int& QueuedCalls(const Attempt& attempt);

  void DispatchCalls(Server& server);

  void ScheduleIteration(Server& server);

  void RunIteration(Server& server);

  void PublishCacheEvent(Server& server, const BlockChange& change);

  void RecordService(const Server& server, const JobProgress& it);

  void ExchangeShares();

  void TakeServiceSample();

  std::int64_t HeldElsewhere(const Server& server,
                             const Arrival& arrival,
                             std::size_t cached_pieces) const;

  void OnFirstToken(Server& server, const FirstToken& first);

  void CancelOthers(std::size_t n, std::size_t winning_attempt);

  void CancelAttempt(std::size_t id);

  void OnFinished(Server& server, std::size_t id);

  // Injected faults.

  void BeginDisturbance(const Disturbance& it);

  void EndDisturbance(const Disturbance& it);

  const Scenario& scenario_;
  std::mt19937_64 random_;
  ManualClock clock_;
  std::vector<std::unique_ptr<Server>> servers_;
  std::vector<std::unique_ptr<EntryPolicy>> models_;
  std::vector<std::unique_ptr<EntryPolicy>> services_;
  std::vector<Request> requests_;
  std::vector<Attempt> attempts_;
  std::vector<int> queued_calls_;
  ServiceSample sample_;
  std::priority_queue<Event> events_;
  std::uint64_t next_event_ = 0;
  RunResult result_;
};

}  // namespace peridotgate::bench

#endif  // TESTING_BENCH_POLICY_SIMULATION_STATE_H_
