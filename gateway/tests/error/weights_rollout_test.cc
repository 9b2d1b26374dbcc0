// A rollout must finish, and never downgrade a server, when order answers are
// lost, orders take effect late, or newer versions become the target.
#include "gateway/weights_rollout.h"

#include <map>
#include <random>
#include <string>

#include <gtest/gtest.h>

namespace peridotgate::gateway {
namespace {

using std::chrono::milliseconds;

// Engine that executes orders like the real one: it counts orders and runs one
// at a time. Some orders arrive late and get no answer.
struct Engine {
  std::int64_t version = 1;
  std::int64_t orders = 0;
  TimePoint busy_until{};
  std::int64_t loading = 0;
};

struct LateOrder {
  std::string server;
  WeightsOrder order;
  TimePoint at{};
};

class Fleet {
 public:
  explicit Fleet(int servers, unsigned seed, double loss_rate)
      : random_(seed), loss_rate_(loss_rate) {
    for (int i = 0; i < servers; ++i) {
      const std::string id = "engine-" + std::to_string(i);
      engines_[id] = {};
      BackendServer server;
      server.id = id;
      server.weights["model"] = 1;
      servers_[id] = server;
    }
  }

  void SetTarget(std::int64_t version) {
    view_.weights =
        std::make_shared<WeightsTargets>(WeightsTargets{{"model", version}});
    PublishView();
  }

  void PublishView() {
    view_.servers = std::make_shared<ServerMap>(servers_);
    rollout_.OnView(view_, now_);
  }

  void Run(milliseconds time) {
    const TimePoint end = now_ + time;
    while (now_ < end) {
      now_ += milliseconds(20);
      AdvanceEngines();
      while (const auto task = rollout_.Next(now_)) {
        HandleTask(*task);
      }
      for (const auto& [id, state] : rollout_.TakeProgress(now_)) {
        known_[id] = state;
        ++reported_changes_;
      }
    }
  }

  std::int64_t MinVersion() const {
    std::int64_t min_version = 1000;
    for (const auto& [id, it] : engines_) {
      min_version = std::min(min_version, it.version);
    }
    return min_version;
  }

  std::size_t max_loading() const { return max_loading_; }
  bool went_back() const { return went_back_; }
  bool pending() const { return rollout_.pending(); }
  std::map<std::string, Engine>& engines() { return engines_; }
  // What the other gateways know, and how many changes they were sent.
  const RolloutMap& known() const { return known_; }
  std::size_t reported_changes() const { return reported_changes_; }

 private:
  void AdvanceEngines() {
    std::size_t loading = 0;
    for (auto& [id, it] : engines_) {
      if (it.loading != 0 && now_ >= it.busy_until) {
        went_back_ = went_back_ || it.loading < it.version;
        it.version = it.loading;
        it.loading = 0;
      }
      loading += it.loading != 0 ? 1 : 0;
    }
    max_loading_ = std::max(max_loading_, loading);
    std::erase_if(late_, [&](const LateOrder& it) {
      if (now_ < it.at) {
        return false;
      }
      (void)ExecuteOrder(engines_[it.server], it.order);
      return true;
    });
  }

  OrderAnswer ExecuteOrder(Engine& engine, const WeightsOrder& order) {
    if (engine.loading != 0 || order.expected_orders != engine.orders) {
      return OrderAnswer::kRefused;
    }
    ++engine.orders;
    engine.loading = order.version;
    engine.busy_until = now_ + milliseconds(800);
    return OrderAnswer::kAccepted;
  }

  void HandleTask(const RolloutTask& task) {
    Engine& engine = engines_[task.server_id];
    ServerReport report;
    report.orders_taken = engine.orders;
    report.busy = engine.loading != 0;
    report.weights["model"] = engine.version;
    const auto order = rollout_.OnReport(task, report, now_);
    if (!order) {
      return;
    }
    if (std::bernoulli_distribution(loss_rate_)(random_)) {
      std::uniform_int_distribution<int> delay(2000, 12000);
      late_.push_back(
          {task.server_id, *order, now_ + milliseconds(delay(random_))});
      rollout_.OnOrderAnswer(task, std::nullopt, now_);
      return;
    }
    rollout_.OnOrderAnswer(task, ExecuteOrder(engine, *order), now_);
  }

  std::mt19937 random_;
  double loss_rate_;
  std::map<std::string, Engine> engines_;
  ServerMap servers_;
  FleetView view_;
  WeightsRollout rollout_;
  RolloutMap known_;
  std::size_t reported_changes_ = 0;
  std::vector<LateOrder> late_;
  TimePoint now_{milliseconds(1000)};
  std::size_t max_loading_ = 0;
  bool went_back_ = false;
};

TEST(WeightsRollout, UpdatesAllServersAFewAtATime) {
  Fleet fleet(9, 1, 0);
  fleet.SetTarget(2);
  EXPECT_TRUE(fleet.pending());
  fleet.Run(milliseconds(6000));
  EXPECT_EQ(fleet.MinVersion(), 2);
  EXPECT_FALSE(fleet.pending());
  EXPECT_LE(fleet.max_loading(), 2U);
}

TEST(WeightsRollout, SkipsSupersededVersions) {
  Fleet fleet(9, 1, 0);
  fleet.SetTarget(2);
  fleet.Run(milliseconds(1500));
  fleet.SetTarget(3);
  fleet.Run(milliseconds(6000));
  EXPECT_EQ(fleet.MinVersion(), 3);
  std::int64_t orders = 0;
  for (const auto& [id, it] : fleet.engines()) {
    orders += it.orders;
  }
  EXPECT_LE(orders, 13);
}

TEST(WeightsRollout, NeverDowngradesWhenOrdersAreLostOrLate) {
  for (unsigned seed = 1; seed <= 20; ++seed) {
    SCOPED_TRACE(seed);
    Fleet fleet(9, seed, 0.5);
    for (std::int64_t version = 2; version <= 5; ++version) {
      fleet.SetTarget(version);
      fleet.Run(milliseconds(4000));
    }
    fleet.Run(milliseconds(16000));
    EXPECT_EQ(fleet.MinVersion(), 5);
    EXPECT_FALSE(fleet.went_back());
  }
}

// Servers that load are polled several times a second, and each gateway is told
// of each change. Reports of unchanged servers once took half of the processor
// of the instance that gave the orders to 300 servers.
TEST(WeightsRollout, ReportsChangesOnceAndEverythingOncePerSecond) {
  constexpr int kServers = 300;
  Fleet fleet(kServers, 1, 0);
  fleet.SetTarget(2);
  fleet.Run(milliseconds(8000));
  const std::size_t changes = fleet.reported_changes();
  EXPECT_FALSE(fleet.pending());
  {
    SCOPED_TRACE("each server twice, and all of them each second");
    EXPECT_LE(changes, 2U * kServers + 9U * kServers);
  }
  {
    SCOPED_TRACE("the gateways know that all servers have the new weights");
    for (const auto& [id, state] : fleet.known()) {
      EXPECT_EQ(state.version, 2) << id;
      EXPECT_FALSE(state.switching) << id;
    }
    EXPECT_EQ(fleet.known().size(), static_cast<std::size_t>(kServers));
  }
}

// Guards against reports and orders that count as requests to a server that
// asked for a pause.
TEST(WeightsRollout, SendsNothingToAServerThatWantsAPause) {
  BackendServer server;
  server.id = "engine";
  server.weights = {{"model", 1}};
  FleetView view;
  view.servers = std::make_shared<ServerMap>(ServerMap{{server.id, server}});
  view.weights = std::make_shared<WeightsTargets>(WeightsTargets{{"model", 2}});
  WeightsRollout rollout;
  const TimePoint now{milliseconds(1000)};
  rollout.OnView(view, now);
  const auto task = rollout.Next(now);
  ASSERT_TRUE(task);
  rollout.OnNotice({{"engine", 0}, false, milliseconds(3000)}, now);
  ServerReport report;
  report.weights = server.weights;
  EXPECT_FALSE(rollout.OnReport(*task, report, now));
  EXPECT_FALSE(rollout.Next(now + milliseconds(2990)));
  EXPECT_TRUE(rollout.Next(now + milliseconds(3010)));
}

// Guards against servers that stay on the old weights of one of their models:
// only the last one in the order of names was once brought to its target.
TEST(WeightsRollout, BringsAllModelsOfAServerToTheirTargets) {
  BackendServer server;
  server.id = "engine";
  server.weights = {{"a", 1}, {"b", 1}, {"c", 1}};
  FleetView view;
  view.servers = std::make_shared<ServerMap>(ServerMap{{server.id, server}});
  WeightsRollout rollout;
  ServerReport engine;
  engine.weights = server.weights;
  std::map<std::string, std::int64_t> told;
  TimePoint now{milliseconds(1000)};
  const auto run = [&](const WeightsTargets& targets) {
    view.weights = std::make_shared<WeightsTargets>(targets);
    rollout.OnView(view, now);
    for (int i = 0; i < 100; ++i) {
      now += milliseconds(100);
      while (const auto task = rollout.Next(now)) {
        const auto order = rollout.OnReport(*task, engine, now);
        if (order) {
          ++engine.orders_taken;
          engine.weights[order->model] = order->version;
          rollout.OnOrderAnswer(*task, OrderAnswer::kAccepted, now);
        }
      }
      for (const auto& [id, state] : rollout.TakeProgress(now)) {
        told[state.model] = state.version;
      }
    }
    EXPECT_FALSE(rollout.pending());
    for (const auto& [model, version] : targets) {
      EXPECT_EQ(engine.weights[model], version) << model;
    }
  };
  run({{"a", 2}, {"b", 2}, {"c", 2}});
  EXPECT_EQ(told, (std::map<std::string, std::int64_t>{
                      {"a", 2}, {"b", 2}, {"c", 2}}));
  run({{"a", 3}, {"b", 2}, {"c", 2}});
  EXPECT_EQ(told["a"], 3);
  EXPECT_EQ(engine.orders_taken, 4);
  {
    SCOPED_TRACE("a model that the server has given up is not ordered");
    server.weights = {{"a", 3}};
    engine.weights = server.weights;
    view.servers = std::make_shared<ServerMap>(ServerMap{{server.id, server}});
    view.weights =
        std::make_shared<WeightsTargets>(WeightsTargets{{"a", 3}, {"b", 5}});
    rollout.OnView(view, now);
    EXPECT_FALSE(rollout.pending());
  }
}

// A server that has the target, and its own report of its weights.
class KnownServer : public testing::Test {
 protected:
  KnownServer() {
    server_.id = "engine";
    server_.address = {"10.0.0.1", 80};
    server_.born_ms = 1000;
    view_.weights =
        std::make_shared<WeightsTargets>(WeightsTargets{{"model", 3}});
    PutRow(1);
    report_.weights = {{"model", 1}};
    BringToTarget();
  }

  void PutRow(std::int64_t version) {
    server_.weights = {{"model", version}};
    view_.servers =
        std::make_shared<ServerMap>(ServerMap{{server_.id, server_}});
    rollout_.OnView(view_, now_);
  }

  // Returns how many orders that took; the server loads at once.
  int BringToTarget() {
    int orders = 0;
    for (int i = 0; i < 40; ++i) {
      now_ += milliseconds(100);
      while (const auto task = rollout_.Next(now_)) {
        EXPECT_EQ(task->address, server_.address);
        if (rollout_.OnReport(*task, report_, now_)) {
          ++orders;
          report_.weights["model"] = task->version;
          rollout_.OnOrderAnswer(*task, OrderAnswer::kAccepted, now_);
        }
      }
    }
    EXPECT_FALSE(rollout_.pending());
    return orders;
  }

  BackendServer server_;
  ServerReport report_;
  FleetView view_;
  WeightsRollout rollout_;
  TimePoint now_{milliseconds(1000)};
};

// Servers stayed on older weights for good.
TEST_F(KnownServer, IsOrderedAgainAfterALateOrderTookItBack) {
  PutRow(3);
  report_.weights["model"] = 2;
  PutRow(2);
  EXPECT_EQ(BringToTarget(), 1);
  EXPECT_EQ(report_.weights["model"], 3);
}

TEST_F(KnownServer, WithARowThatLagsGetsNoFurtherOrder) {
  for (const std::int64_t version : {2, 3}) {
    PutRow(version);
    EXPECT_EQ(BringToTarget(), 0);
  }
}

TEST_F(KnownServer, IsOrderedAnewAfterARestart) {
  const RolloutTask before{server_.id, server_.born_ms, server_.address,
                           "model", 3};
  for (const bool moved : {false, true}) {
    SCOPED_TRACE(moved ? "to another address" : "under the same id");
    if (moved) {
      server_.address.port = 81;
    } else {
      ++server_.born_ms;
    }
    report_.weights["model"] = 2;
    PutRow(2);
    rollout_.OnOrderAnswer(before, OrderAnswer::kAlreadyHeld, now_);
    EXPECT_TRUE(rollout_.pending());
    EXPECT_EQ(BringToTarget(), 1);
  }
}

}  // namespace
}  // namespace peridotgate::gateway
