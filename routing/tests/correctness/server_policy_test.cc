#include "routing/server_policy.h"

#include <algorithm>
#include <set>
#include <string>
#include <vector>

#include <gtest/gtest.h>

namespace peridotgate::routing {
namespace {

class ServerPolicyTest : public testing::Test {
 protected:
  static std::vector<ServerSeat> Seats() {
    std::vector<ServerSeat> seats;
    seats.reserve(20);
    for (int i = 0; i < 20; ++i) {
      seats.push_back({"model-" + std::to_string(i), 1.0});
    }
    return seats;
  }

  RouteQuery Query(std::span<const PrefixKey> chain) {
    salt_ = salt_ * 6364136223846793005 + 1442695040888963407;
    return {chain, salt_ >> 7, 1, 2000, 100};
  }

  // All servers probed for `calls` calls with this prefix.
  std::set<SeatIndex> ProbedSeats(const std::vector<PrefixKey>& chain,
                                  int calls) {
    std::set<SeatIndex> probed;
    for (int i = 0; i < calls; ++i) {
      clock_.Advance(std::chrono::milliseconds(10));
      const auto seats = policy_.Plan(table_, Query(chain), {});
      probed.insert(seats.begin(), seats.end());
    }
    return probed;
  }

  static ProbedServer Server(SeatIndex seat, std::int32_t held, int wait_ms) {
    ProbedServer it;
    it.seat = seat;
    it.held_pieces = held;
    it.queue_wait = std::chrono::milliseconds(wait_ms);
    it.prefill_per_piece = std::chrono::milliseconds(50);
    return it;
  }

  coordination::ManualClock clock_;
  PlacementTable table_{Seats()};
  ServerPolicy policy_{clock_};
  std::uint64_t salt_ = 1;
};

TEST_F(ServerPolicyTest, AHotPrefixGetsMoreServersWhileItIsHot) {
  const std::vector<PrefixKey> hot = {11};
  {
    SCOPED_TRACE("the only prefix is spread over nearly all servers");
    EXPECT_GT(ProbedSeats(hot, 400).size(), 15U);
  }
  {
    SCOPED_TRACE("one of many prefixes uses few servers");
    for (PrefixKey i = 0; i < 4000; ++i) {
      clock_.Advance(std::chrono::milliseconds(10));
      const std::vector<PrefixKey> other = {1000 + i % 50};
      policy_.Plan(table_, Query(other), {});
    }
    EXPECT_LE(ProbedSeats(hot, 5).size(), 4U);
  }
}

TEST_F(ServerPolicyTest, LongWorkUsesFewServers) {
  const std::vector<PrefixKey> usual = {11};
  std::set<SeatIndex> probed;
  for (PrefixKey i = 0; i < 30; ++i) {
    ProbedSeats({500 + i % 10}, 50);
    std::vector<PrefixKey> long_prompt;
    for (PrefixKey n = 0; n < 12; ++n) {
      long_prompt.push_back((1000 + i) * 100 + n);
    }
    const auto seats = policy_.Plan(table_, Query(long_prompt), {});
    probed.insert(seats.begin(), seats.end());
  }
  EXPECT_LT(probed.size(), 12U);
}

TEST_F(ServerPolicyTest, ExcludedServersAreNotProbed) {
  const std::vector<PrefixKey> chain = {11, 12};
  const auto first = policy_.Plan(table_, Query(chain), {});
  const auto second = policy_.Plan(table_, Query(chain), first);
  EXPECT_EQ(second.size(), 3U);
  for (SeatIndex it : second) {
    EXPECT_EQ(std::count(first.begin(), first.end(), it), 0);
  }
}

TEST_F(ServerPolicyTest, ACacheMissIsChosenOnlyOverALongerWait) {
  const std::vector<PrefixKey> chain = {11, 12};
  const auto decide = [&](int wait_ms) {
    const std::vector<ProbedServer> servers = {Server(3, 2, wait_ms),
                                               Server(4, 0, 0)};
    return *policy_.Decide(servers, Query(chain));
  };
  {
    SCOPED_TRACE("a short wait is cheaper than computing two pieces");
    EXPECT_EQ(decide(40).choice.seat, 3U);
    EXPECT_EQ(decide(40).reason, ChoiceReason::kHeld);
  }
  {
    SCOPED_TRACE("a long wait is not");
    EXPECT_EQ(decide(900).choice.seat, 4U);
    EXPECT_EQ(decide(900).reason, ChoiceReason::kWait);
  }
}

TEST_F(ServerPolicyTest, ASlowServerIsAvoidedIfThereIsAnother) {
  const std::vector<PrefixKey> chain = {11};
  ProbedServer slow = Server(3, 0, 0);
  slow.slowness = 5;
  const std::vector<ProbedServer> servers = {slow, Server(4, 0, 30)};
  EXPECT_EQ(policy_.Decide(servers, Query(chain))->choice.seat, 4U);
  {
    SCOPED_TRACE("a slow server is used if it is the only one");
    const std::vector<ProbedServer> only = {slow};
    EXPECT_EQ(policy_.Decide(only, Query(chain))->choice.seat, 3U);
  }
}

TEST_F(ServerPolicyTest, EqualServersAreChosenInProbeOrder) {
  const auto chosen = [&](std::vector<int> prefill_ms, bool reversed) {
    std::vector<ProbedServer> servers = {Server(5, 0, 0), Server(3, 0, 0),
                                         Server(4, 0, 0)};
    const std::vector<SeatIndex> probe_order = {5, 3, 4};
    for (std::size_t i = 0; i < servers.size(); ++i) {
      servers[i].prefill_per_piece = std::chrono::milliseconds(prefill_ms[i]);
    }
    if (reversed) {
      std::ranges::reverse(servers);
    }
    Arrange(servers, probe_order);
    const std::vector<PrefixKey> cold = {11, 12};
    return policy_.Decide(servers, Query(cold))->choice.seat;
  };
  for (bool reversed : {false, true}) {
    SCOPED_TRACE(reversed ? "the most preferred server answered last"
                          : "answers in probe order");
    EXPECT_EQ(chosen({0, 0, 0}, reversed), 5U) << "no measured speed";
    EXPECT_EQ(chosen({0, 20, 0}, reversed), 5U)
        << "only another server has a measured speed";
    EXPECT_EQ(chosen({0, 200, 0}, reversed), 5U)
        << "only another server has a speed, and is slow";
    EXPECT_EQ(chosen({21, 19, 20}, reversed), 5U)
        << "differences within the noise";
    EXPECT_EQ(chosen({20, 20, 9}, reversed), 4U)
        << "one server is clearly faster";
    EXPECT_EQ(chosen({0, 9, 40}, reversed), 5U)
        << "an unmeasured server gets the lower median of two";
  }
}

TEST_F(ServerPolicyTest, MoreServersAreProbedOnlyIfAllHaveLongWaits) {
  const std::vector<PrefixKey> chain = {11};
  const std::vector<ProbedServer> busy = {Server(3, 1, 400), Server(4, 0, 500)};
  const auto more = policy_.Widen(table_, Query(chain), busy, {});
  EXPECT_FALSE(more.empty());
  EXPECT_EQ(std::count(more.begin(), more.end(), 3U), 0);
  const std::vector<ProbedServer> cold = {Server(3, 0, 0)};
  EXPECT_TRUE(policy_.Widen(table_, Query(chain), cold, {}).empty());
}

}  // namespace
}  // namespace peridotgate::routing
