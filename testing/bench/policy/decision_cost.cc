#include "bench/policy/decision_cost.h"

#include <algorithm>
#include <cstdio>
#include <ctime>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include <spdlog/fmt/fmt.h>

#include "agent/scheduler.h"
#include "coordination/clock.h"
#include "routing/server_policy.h"

namespace peridotgate::bench {
namespace {

using coordination::Duration;
using coordination::Id128;
using coordination::ManualClock;

constexpr int kDecisions = 20000;
constexpr int kRounds = 9;
constexpr std::size_t kChainLength = 5;
constexpr std::size_t kBacklog = 64;

double ProcessorMicros() {
  timespec now{};
  clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &now);
  return static_cast<double>(now.tv_sec) * 1e6 +
         static_cast<double>(now.tv_nsec) / 1e3;
}

// Makes the decisions for one call: routing in the entry, then scheduling in
// the agent.
class Decider {
 public:
  Decider(std::size_t replicas, std::size_t organisations, std::uint64_t seed)
      : random_(seed),
        table_(Seats(replicas)),
        policy_(clock_),
        scheduler_(clock_, {}) {
    for (std::size_t i = 0; i < organisations; ++i) {
      // All names have the same length, so that the sizes compare.
      organisations_.push_back("organisation-" + std::to_string(100 + i));
    }
    for (std::size_t i = 0; i < kBacklog; ++i) {
      scheduler_.Push(NextCall());
    }
  }

  void DecideOnce() {
    clock_.Advance(Duration(70));
    DecideRoute();
    DecideQueueing();
  }

 private:
  static std::vector<routing::ServerSeat> Seats(std::size_t n) {
    std::vector<routing::ServerSeat> seats;
    for (std::size_t i = 0; i < n; ++i) {
      seats.push_back({"model-" + std::to_string(i), 1.0});
    }
    return seats;
  }

  void DecideRoute() {
    std::vector<routing::PrefixKey> chain(kChainLength);
    for (std::size_t i = 0; i < kChainLength; ++i) {
      chain[i] = (random_() % 2000) * 0x9e3779b97f4a7c15 + i;
    }
    const routing::RouteQuery query{chain, random_(), 1, 10500, 100};
    const auto seats = policy_.Plan(table_, query, {});
    std::vector<routing::ProbedServer> servers;
    for (routing::SeatIndex it : seats) {
      routing::ProbedServer server;
      server.seat = it;
      server.held_pieces = static_cast<std::int32_t>(it % (kChainLength + 1));
      server.queue_wait = Duration(random_() % 300000);
      server.prefill_per_piece = Duration(50000);
      servers.push_back(server);
    }
    const auto more = policy_.Widen(table_, query, servers, {});
    chosen_ += more.size();
    chosen_ += policy_.Decide(servers, query)->choice.seat;
  }

  void DecideQueueing() {
    wire::ProbeRequest request;
    wire::ProbeReply reply;
    agent::ScheduledCall call = NextCall();
    request.organisation = call.organisation;
    for (int i = 0; i < 3; ++i) {
      scheduler_.Describe(request, reply);
    }
    chosen_ += static_cast<std::size_t>(scheduler_.Admit(call));
    scheduler_.Push(std::move(call));
    while (auto next = scheduler_.Next()) {
      running_.push_back(next->request_id);
    }
    const Id128 done = running_[random_() % running_.size()];
    std::erase(running_, done);
    scheduler_.OnHandedOver(done);
    scheduler_.OnOutput(done);
    scheduler_.OnOutput(done);
    scheduler_.Finish(done, 2000);
  }

  agent::ScheduledCall NextCall() {
    agent::ScheduledCall call;
    call.request_id = {++next_, next_};
    call.organisation = organisations_[random_() % organisations_.size()];
    call.kind = "quote";
    call.cost = 1000 + static_cast<double>(random_() % 2000);
    call.prefill_tokens = call.cost / 2;
    call.streamed = true;
    call.wait_limit = std::chrono::seconds(5);
    return call;
  }

  std::mt19937_64 random_;
  ManualClock clock_;
  routing::PlacementTable table_;
  routing::ServerPolicy policy_;
  agent::Scheduler scheduler_;
  std::vector<std::string> organisations_;
  std::vector<Id128> running_;
  std::uint64_t next_ = 0;
  std::size_t chosen_ = 0;
};

struct Size {
  std::size_t replicas;
  std::size_t organisations;
};

}  // namespace

void PrintDecisionCost(std::uint64_t seed) {
  constexpr Size kSizes[] = {{9, 8},     {100, 8}, {1000, 8},
                             {12000, 8}, {9, 650}, {12000, 650}};
  std::vector<std::unique_ptr<Decider>> deciders;
  std::vector<std::vector<double>> cpu_us(std::size(kSizes));
  for (const Size& it : kSizes) {
    deciders.push_back(
        std::make_unique<Decider>(it.replicas, it.organisations, seed));
  }
  // Interleaves the sizes, so that other load on the machine affects all alike.
  for (int round = 0; round < kRounds; ++round) {
    for (std::size_t i = 0; i < deciders.size(); ++i) {
      const double from = ProcessorMicros();
      for (int n = 0; n < kDecisions; ++n) {
        deciders[i]->DecideOnce();
      }
      cpu_us[i].push_back((ProcessorMicros() - from) / kDecisions);
    }
  }
  double min_us = 1e9;
  double max_us = 0;
  for (std::size_t i = 0; i < cpu_us.size(); ++i) {
    std::sort(cpu_us[i].begin(), cpu_us[i].end());
    const double median = cpu_us[i][kRounds / 2];
    min_us = std::min(min_us, median);
    max_us = std::max(max_us, median);
    std::puts(fmt::format(R"({{"decision_cost_us":{:.2f},"replicas":{},)"
                          R"("organisations":{},"median_of":{}}})",
                          median, kSizes[i].replicas, kSizes[i].organisations,
                          kRounds)
                  .c_str());
  }
  std::puts(fmt::format(
                R"({{"summary":"decision-cost","targets":[{{"name":"most_us",)"
                R"("value":{:.2f},"at_most":20,"met":{}}},)"
                R"({{"name":"most_over_least","value":{:.3f},"at_most":1.2,)"
                R"("met":{}}}]}})",
                max_us, max_us < 20, max_us / min_us, max_us / min_us <= 1.2)
                .c_str());
}

}  // namespace peridotgate::bench
