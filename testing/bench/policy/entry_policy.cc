#include "bench/policy/entry_policy.h"

#include <algorithm>
#include <array>

#include "bench/policy/previous/routing.h"
#include "coordination/retry_budget.h"
#include "routing/placement.h"
#include "routing/server_policy.h"

namespace peridotgate::bench {
namespace {

using coordination::Clock;
using Seats = std::span<const routing::ServerSeat>;

bool Contains(std::span<const SeatIndex> seats, SeatIndex seat) {
  return std::find(seats.begin(), seats.end(), seat) != seats.end();
}

class RoundRobin : public EntryPolicy {
 public:
  RoundRobin(std::size_t seats, std::size_t entry)
      : seats_(seats), next_(entry) {}

  std::vector<SeatIndex> Plan(const routing::RouteQuery& /*query*/,
                              std::span<const SeatIndex> excluded) override {
    for (std::size_t i = 0; i < seats_; ++i) {
      const auto seat = static_cast<SeatIndex>(next_++ % seats_);
      if (!Contains(excluded, seat)) {
        return {seat};
      }
    }
    return {};
  }

 private:
  std::size_t seats_;
  std::size_t next_;
};

// Counts only this entry's own requests in flight.
class LeastRequests : public EntryPolicy {
 public:
  LeastRequests(std::size_t seats, std::size_t entry)
      : open_(seats), next_(entry) {}

  std::vector<SeatIndex> Plan(const routing::RouteQuery& /*query*/,
                              std::span<const SeatIndex> excluded) override {
    std::optional<SeatIndex> best;
    ++next_;
    for (std::size_t i = 0; i < open_.size(); ++i) {
      const auto seat = static_cast<SeatIndex>((next_ + i) % open_.size());
      const bool free = !Contains(excluded, seat);
      if (free && (!best || open_[seat] < open_[*best])) {
        best = seat;
      }
    }
    return best ? std::vector<SeatIndex>{*best} : std::vector<SeatIndex>{};
  }
  void OnSent(SeatIndex seat) override { ++open_[seat]; }
  void OnDone(SeatIndex seat) override { --open_[seat]; }

 private:
  std::vector<int> open_;
  std::size_t next_;
};

class PrefixHash : public EntryPolicy {
 public:
  explicit PrefixHash(Seats seats) : seats_(seats.begin(), seats.end()) {}

  std::vector<SeatIndex> Plan(const routing::RouteQuery& query,
                              std::span<const SeatIndex> excluded) override {
    auto ranked = previous::Candidates(seats_, query, seats_.size());
    std::erase_if(ranked, [&](SeatIndex it) { return Contains(excluded, it); });
    ranked.resize(std::min<std::size_t>(1, ranked.size()));
    return ranked;
  }

 private:
  std::vector<routing::ServerSeat> seats_;
};

class PreviousPolicy : public EntryPolicy {
 public:
  explicit PreviousPolicy(Seats seats) : seats_(seats.begin(), seats.end()) {}

  std::vector<SeatIndex> Plan(const routing::RouteQuery& query,
                              std::span<const SeatIndex> excluded) override {
    constexpr std::size_t kCandidates = 3;
    auto ranked =
        previous::Candidates(seats_, query, kCandidates + excluded.size());
    std::erase_if(ranked, [&](SeatIndex it) { return Contains(excluded, it); });
    ranked.resize(std::min(kCandidates, ranked.size()));
    return ranked;
  }
  bool needs_probes() const override { return true; }
  std::optional<routing::Choice> Choose(
      std::span<const routing::ProbedServer> servers,
      const routing::RouteQuery& query) override {
    return previous::ChooseServer(servers, query);
  }

 private:
  std::vector<routing::ServerSeat> seats_;
};

class CurrentPolicy : public EntryPolicy {
 public:
  CurrentPolicy(const Clock& clock, Seats seats)
      : policy_(clock), table_(seats) {}

  std::vector<SeatIndex> Plan(const routing::RouteQuery& query,
                              std::span<const SeatIndex> excluded) override {
    return policy_.Plan(table_, query, excluded);
  }
  bool needs_probes() const override { return true; }
  std::vector<SeatIndex> Widen(const routing::RouteQuery& query,
                               std::span<const routing::ProbedServer> servers,
                               std::span<const SeatIndex> excluded) override {
    return policy_.Widen(table_, query, servers, excluded);
  }
  std::optional<routing::Choice> Choose(
      std::span<const routing::ProbedServer> servers,
      const routing::RouteQuery& query) override {
    auto decision = policy_.Decide(servers, query);
    return decision ? std::optional(decision->choice) : std::nullopt;
  }
  void OnRequest(const std::string& organisation, double tokens) override {
    retry_budget_.OnRequest(organisation);
    second_attempts_.OnCall(tokens);
  }
  bool MayRetry(const std::string& organisation, int attempts) override {
    return EntryPolicy::MayRetry(organisation, attempts) &&
           retry_budget_.TryRetry(organisation);
  }
  routing::SecondAttemptPolicy* second_attempts() override {
    return &second_attempts_;
  }

 private:
  routing::ServerPolicy policy_;
  routing::PlacementTable table_;
  coordination::RetryBudget retry_budget_;
  routing::SecondAttemptPolicy second_attempts_;
};

std::unique_ptr<ServerQueue> MakeArrivalQueue(const Clock& /*clock*/) {
  return std::make_unique<ArrivalQueue>();
}

template <class Queue>
std::unique_ptr<ServerQueue> MakeQueue(const Clock& clock) {
  return std::make_unique<Queue>(clock);
}

const std::array<PolicyParts, 5> kPolicies = {{
    {"round-robin",
     [](const Clock&, Seats seats, std::size_t entry)
         -> std::unique_ptr<EntryPolicy> {
       return std::make_unique<RoundRobin>(seats.size(), entry);
     },
     MakeArrivalQueue},
    {"least-requests",
     [](const Clock&, Seats seats, std::size_t entry)
         -> std::unique_ptr<EntryPolicy> {
       return std::make_unique<LeastRequests>(seats.size(), entry);
     },
     MakeArrivalQueue},
    {"prefix-hash",
     [](const Clock&, Seats seats, std::size_t)
         -> std::unique_ptr<EntryPolicy> {
       return std::make_unique<PrefixHash>(seats);
     },
     MakeArrivalQueue},
    {"previous",
     [](const Clock&, Seats seats, std::size_t)
         -> std::unique_ptr<EntryPolicy> {
       return std::make_unique<PreviousPolicy>(seats);
     },
     MakeQueue<PreviousQueue>},
    {"current",
     [](const Clock& clock, Seats seats, std::size_t)
         -> std::unique_ptr<EntryPolicy> {
       return std::make_unique<CurrentPolicy>(clock, seats);
     },
     MakeQueue<CurrentQueue>},
}};

}  // namespace

std::span<const PolicyParts> AllPolicies() {
  return kPolicies;
}

}  // namespace peridotgate::bench
