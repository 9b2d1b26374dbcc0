// Orders to engines while lease holders are paused beyond their lease or killed
// and agents restart. Half of the engines check the fencing token, half do not.

#include <algorithm>
#include <charconv>

#include <spdlog/fmt/fmt.h>
#include <boost/json.hpp>

#include "prove/config_work.h"
#include "prove/late_messages.h"
#include "prove/properties/properties.h"

namespace peridotgate::prove {
namespace {

namespace json = boost::json;
using std::chrono::milliseconds;

constexpr milliseconds kPauseBeyondLease{7000};
constexpr milliseconds kPoll{100};
constexpr int kMaxPolls = 300;
constexpr int kMaxSends = 5;
constexpr int kMaxConcurrentLoads = 2;
constexpr std::string_view kTokenMetric = "\nperidotgate_entry_fencing_token ";

// The start (+1) or end (-1) of a weight load on an engine.
struct LoadEvent {
  std::int64_t at_us = 0;
  int change = 0;
};

class EngineOrders {
 public:
  explicit EngineOrders(Run& run) : run_(run) {}

  // Reads all orders and checks that their tokens do not decrease. Returns
  // whether every engine has loaded `weights`.
  asio::awaitable<bool> Check(std::int64_t weights) {
    bool all = true;
    load_events_.clear();
    for (std::size_t i = 0; i < run_.fleet().options().engines; ++i) {
      const bool reached = co_await CheckOne(i, weights);
      all = all && reached;
    }
    co_return all;
  }

  // Checks how many of the loads read by `Check` overlap.
  void CheckLoads() {
    std::sort(load_events_.begin(), load_events_.end(),
              [](const auto& a, const auto& b) { return a.at_us < b.at_us; });
    int loading = 0;
    int max_loading = 0;
    for (const LoadEvent& it : load_events_) {
      loading += it.change;
      max_loading = std::max(max_loading, loading);
    }
    run_.report().Check("at_most_two_loads",
                        max_loading > 0 && max_loading <= kMaxConcurrentLoads,
                        fmt::format("{} loads at once", max_loading));
  }

  std::int64_t highest_token() const { return highest_token_; }

 private:
  asio::awaitable<bool> CheckOne(std::size_t i, std::int64_t weights) {
    const Backend& backend = run_.fleet().backends()[i];
    const std::string text =
        co_await run_.fleet().Get(backend.server_address, "/orders");
    if (text.empty()) {
      co_return false;
    }
    const json::value answer = json::parse(text);
    std::int64_t highest_token = 0;
    std::int64_t last_weights = 0;
    bool ended = true;
    for (const json::value& it : answer.at("orders").as_array()) {
      const auto token = it.at("fencing_token").to_number<std::int64_t>();
      run_.report().Check(
          "token_never_falls", token >= highest_token,
          fmt::format("engine {}: {} after {}", i, token, highest_token));
      highest_token = std::max(highest_token, token);
      last_weights = it.at("weights_version").to_number<std::int64_t>();
      ended = RecordLoad(it.as_object()) && ended;
    }
    highest_token_ = std::max(highest_token_, highest_token);
    co_return ended&& last_weights == weights;
  }

  // Returns false if the load has not ended.
  bool RecordLoad(const json::object& order) {
    const json::value* ended = order.if_contains("ended_us");
    if (ended != nullptr) {
      load_events_.push_back({order.at("began_us").as_int64(), 1});
      load_events_.push_back({ended->as_int64(), -1});
    }
    return ended != nullptr;
  }

  Run& run_;
  std::vector<LoadEvent> load_events_;
  std::int64_t highest_token_ = 0;
};

std::string_view Name(OrderAnswer answer) {
  switch (answer) {
    case OrderAnswer::kNone:
      return "late unanswered";
    case OrderAnswer::kRefused:
      return "late refused";
    case OrderAnswer::kAccepted:
      return "late taken";
  }
  return "unknown";
}

asio::awaitable<void> WaitForWeights(Run& run,
                                     EngineOrders& engines,
                                     std::int64_t weights) {
  bool reached = false;
  for (int i = 0; i < kMaxPolls && !reached; ++i) {
    co_await run.Sleep(kPoll);
    reached = co_await engines.Check(weights);
  }
  run.report().Check("weights_are_loaded", reached,
                     fmt::format("weights {}", weights));
}

// Returns the fencing token that an entry reports, or 0 if it holds none.
asio::awaitable<std::int64_t> ReadToken(Run& run, std::size_t entry) {
  const EntryProcess& process = run.fleet().entries()[entry];
  const std::string text =
      co_await run.fleet().Get(process.operators, "/metrics");
  const std::size_t at = text.find(kTokenMetric);
  std::int64_t token = 0;
  if (at != std::string::npos) {
    std::from_chars(text.data() + at + kTokenMetric.size(),
                    text.data() + text.size(), token);
  }
  co_return token;
}

struct LeaseHolder {
  std::size_t entry = 0;
  std::int64_t token = 0;
};

asio::awaitable<LeaseHolder> FindHolder(Run& run) {
  LeaseHolder holder;
  for (int i = 0; i < kMaxPolls && holder.token == 0; ++i) {
    for (std::size_t e = 0; e < run.fleet().entries().size(); ++e) {
      const std::int64_t token = co_await ReadToken(run, e);
      if (token > holder.token) {
        holder = {e, token};
      }
    }
    co_await run.Sleep(kPoll);
  }
  co_return holder;
}

// Pauses the lease holder until the lease expires and another entry holds it.
// Returns the expired token, for late orders.
asio::awaitable<std::int64_t> PauseHolderBeyondLease(Run& run) {
  const LeaseHolder holder = co_await FindHolder(run);
  run.report().Check("paused_entry_held_the_lease", holder.token > 0);
  Child& entry = run.fleet().entries()[holder.entry].process;
  entry.Pause();
  run.report().AddFault(Fault::kEntryPaused);
  co_await run.Sleep(kPauseBeyondLease);
  const LeaseHolder next = co_await FindHolder(run);
  run.report().Check("lease_went_to_another",
                     next.entry != holder.entry && next.token > holder.token,
                     fmt::format("token {} then {}", holder.token, next.token));
  entry.Continue();
  co_return holder.token;
}

// Every agent must refuse an order from the earlier holder, whether or not the
// agent has restarted or received an order from the later holder since.
asio::awaitable<void> SendLateOrders(Run& run, std::int64_t token) {
  for (std::size_t i = 0; i < run.fleet().options().engines; ++i) {
    OrderAnswer answer = OrderAnswer::kNone;
    for (int n = 0; n < kMaxSends && answer == OrderAnswer::kNone; ++n) {
      answer = co_await SendOrder(run, i, token);  // The agent may be starting.
    }
    run.report().AddOutcome(Name(answer));
    run.report().Check("late_order_is_refused", answer == OrderAnswer::kRefused,
                       fmt::format("agent {}: token {}", i, token));
  }
}

}  // namespace

asio::awaitable<void> FencedOrders(Run& run) {
  for (Fault it :
       {Fault::kEntryPaused, Fault::kEntryKilled, Fault::kAgentKilled}) {
    run.report().Expect(it);
  }
  for (const char* it : {"token_never_falls", "weights_are_loaded",
                         "at_most_two_loads", "paused_entry_held_the_lease",
                         "lease_went_to_another", "late_order_is_refused"}) {
    run.report().Expect(it);
  }
  TestFleet& fleet = run.fleet();
  ConfigWorkload work(run);
  EngineOrders engines(run);
  std::int64_t weights = 1;
  std::size_t turn = 0;
  do {
    work.SetWeights(++weights);
    co_await work.ApplyAndWait();
    if (turn % 3 == 2) {
      const LeaseHolder holder = co_await FindHolder(run);
      fleet.RestartEntry(holder.entry);
      run.report().AddFault(Fault::kEntryKilled);
      co_await WaitForWeights(run, engines, weights);
    } else {
      const std::int64_t late = co_await PauseHolderBeyondLease(run);
      fleet.RestartAgent(turn % fleet.options().engines);
      run.report().AddFault(Fault::kAgentKilled);
      co_await SendLateOrders(run, late);
      co_await WaitForWeights(run, engines, weights);
    }
    engines.CheckLoads();
    ++turn;
  } while (!run.over() || turn < 3);
}

}  // namespace peridotgate::prove
