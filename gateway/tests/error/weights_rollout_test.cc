// Orders under lost answers, late effects, restarts and newer names.
#include "gateway/weights_rollout.h"

#include <map>
#include <random>
#include <string>

#include <gtest/gtest.h>

namespace peridotgate::gateway {
namespace {

using std::chrono::milliseconds;

// Engines that carry orders out as the platform says: a count of orders, one
// at a time, some of them late and without an answer.
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
  explicit Fleet(int servers, unsigned seed, double lost)
      : random_(seed), lost_(lost) {
    for (int i = 0; i < servers; ++i) {
      const std::string id = "engine-" + std::to_string(i);
      engines_[id] = {};
      BackendServer server;
      server.id = id;
      server.weights["model"] = 1;
      servers_[id] = server;
    }
  }

  void Name(std::int64_t version) {
    view_.weights =
        std::make_shared<WeightsTargets>(WeightsTargets{{"model", version}});
    Show();
  }

  void Show() {
    view_.servers = std::make_shared<ServerMap>(servers_);
    rollout_.OnView(view_);
  }

  void Run(milliseconds time) {
    const TimePoint end = now_ + time;
    while (now_ < end) {
      now_ += milliseconds(20);
      Work();
      while (const auto task = rollout_.Next(now_)) {
        Deal(*task);
      }
    }
  }

  std::int64_t Least() const {
    std::int64_t least = 1000;
    for (const auto& [id, it] : engines_) {
      least = std::min(least, it.version);
    }
    return least;
  }

  std::size_t most_at_once() const { return most_at_once_; }
  bool went_back() const { return went_back_; }
  bool pending() const { return rollout_.pending(); }
  std::map<std::string, Engine>& engines() { return engines_; }

 private:
  void Work() {
    std::size_t loading = 0;
    for (auto& [id, it] : engines_) {
      if (it.loading != 0 && now_ >= it.busy_until) {
        went_back_ = went_back_ || it.loading < it.version;
        it.version = it.loading;
        it.loading = 0;
      }
      loading += it.loading != 0 ? 1 : 0;
    }
    most_at_once_ = std::max(most_at_once_, loading);
    std::erase_if(late_, [&](const LateOrder& it) {
      if (now_ < it.at) {
        return false;
      }
      (void)Take(engines_[it.server], it.order);
      return true;
    });
  }

  OrderAnswer Take(Engine& engine, const WeightsOrder& order) {
    if (engine.loading != 0 || order.expected_orders != engine.orders) {
      return OrderAnswer::kRefused;
    }
    ++engine.orders;
    engine.loading = order.version;
    engine.busy_until = now_ + milliseconds(800);
    return OrderAnswer::kAccepted;
  }

  void Deal(const RolloutTask& task) {
    Engine& engine = engines_[task.server_id];
    ServerReport report;
    report.orders_taken = engine.orders;
    report.busy = engine.loading != 0;
    report.weights["model"] = engine.version;
    const auto order = rollout_.OnReport(task, report, now_);
    if (!order) {
      return;
    }
    if (std::bernoulli_distribution(lost_)(random_)) {
      std::uniform_int_distribution<int> delay(2000, 12000);
      late_.push_back(
          {task.server_id, *order, now_ + milliseconds(delay(random_))});
      rollout_.OnOrderAnswer(task, std::nullopt, now_);
      return;
    }
    rollout_.OnOrderAnswer(task, Take(engine, *order), now_);
  }

  std::mt19937 random_;
  double lost_;
  std::map<std::string, Engine> engines_;
  ServerMap servers_;
  FleetView view_;
  WeightsRollout rollout_;
  std::vector<LateOrder> late_;
  TimePoint now_{milliseconds(1000)};
  std::size_t most_at_once_ = 0;
  bool went_back_ = false;
};

TEST(WeightsRollout, BringsEveryServerToTheVersionAFewAtATime) {
  Fleet fleet(9, 1, 0);
  fleet.Name(2);
  EXPECT_TRUE(fleet.pending());
  fleet.Run(milliseconds(6000));
  EXPECT_EQ(fleet.Least(), 2);
  EXPECT_FALSE(fleet.pending());
  EXPECT_LE(fleet.most_at_once(), 2U);
}

TEST(WeightsRollout, SkipsVersionsThatWereOvertaken) {
  Fleet fleet(9, 1, 0);
  fleet.Name(2);
  fleet.Run(milliseconds(1500));
  fleet.Name(3);
  fleet.Run(milliseconds(6000));
  EXPECT_EQ(fleet.Least(), 3);
  std::int64_t orders = 0;
  for (const auto& [id, it] : fleet.engines()) {
    orders += it.orders;
  }
  EXPECT_LE(orders, 13);
}

TEST(WeightsRollout, NeverGoesBackWhenOrdersAreLostOrLate) {
  for (unsigned seed = 1; seed <= 20; ++seed) {
    SCOPED_TRACE(seed);
    Fleet fleet(9, seed, 0.5);
    for (std::int64_t version = 2; version <= 5; ++version) {
      fleet.Name(version);
      fleet.Run(milliseconds(4000));
    }
    fleet.Run(milliseconds(16000));
    EXPECT_EQ(fleet.Least(), 5);
    EXPECT_FALSE(fleet.went_back());
  }
}

}  // namespace
}  // namespace peridotgate::gateway
