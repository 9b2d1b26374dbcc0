// Placement of requests with long shared prompts, with full and failing
// servers, and during weights rollouts.
#include "gateway/load_balancer.h"

#include <map>
#include <set>
#include <string>
#include <vector>

#include <gtest/gtest.h>

namespace peridotgate::gateway {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const runtime::Endpoint kStore{"10.0.0.99", 80};

constexpr int kServers = 9;

// One gateway's view of nine engines and three plain servers.
class LoadBalancerTest : public testing::Test {
 protected:
  LoadBalancerTest() {
    RulesText text;
    text.version = 1;
    Service engines;
    engines.name = "engines";
    engines.engine = Engine{64, 100'000};
    Service store;
    store.name = "store";
    store.cache_store = kStore;
    text.services = {engines, Service{"plain", 0, {}, {}}, store};
    view_.rules = std::make_shared<Rules>(std::move(text));
    for (int i = 0; i < kServers; ++i) {
      Add("engine-" + std::to_string(i), "engines", i);
    }
    for (int i = 0; i < 3; ++i) {
      Add("plain-" + std::to_string(i), "plain", 20 + i);
    }
    view_.weights =
        std::make_shared<WeightsTargets>(WeightsTargets{{"model", 1}});
    PublishView();
    now_ += seconds(60);
    balancer_.OnCacheStore({kStore, true, false, {}});
  }

  void Add(const std::string& id, const std::string& service, int host) {
    BackendServer server;
    server.id = id;
    server.service = service;
    server.address = {"10.0.0." + std::to_string(host + 1), 80};
    server.data_centre = "a";
    server.slots = service == "plain" ? 6 : 64;
    if (service == "engines") {
      server.weights["model"] = 1;
    }
    servers_[id] = server;
  }

  void PublishView() {
    view_.servers = std::make_shared<ServerMap>(servers_);
    balancer_.OnView(view_, now_);
  }

  void SetTargetWeights(std::int64_t version) {
    view_.weights =
        std::make_shared<WeightsTargets>(WeightsTargets{{"model", version}});
    PublishView();
  }

  PlacementRequest LongRequest(const std::string& sheet) {
    prompt_ = {{"root", 2500}, {sheet, 3800}, {"own-" + sheet, 2900}};
    return {"engines", "model", prompt_, scope_, "a", avoided_};
  }

  PlacementRequest PlainRequest() {
    return {"plain", "", {}, "", "a", avoided_};
  }

  std::string PlaceAndDispatch(const PlacementRequest& request) {
    const auto placement = balancer_.Place(request, now_);
    if (!placement) {
      return "";
    }
    balancer_.OnDispatch(*placement, request, now_);
    return placement->server_id;
  }

  FleetView view_;
  ServerMap servers_;
  std::vector<PromptPart> prompt_;
  std::string scope_;
  std::vector<std::string> avoided_;
  LoadBalancer balancer_;
  TimePoint now_{};
};

TEST_F(LoadBalancerTest, AllGatewaysPreferTheSameServerForAPrefix) {
  std::set<std::string> used;
  LoadBalancer other;
  other.OnView(view_, now_);
  for (int i = 0; i < 40; ++i) {
    const std::string sheet = "sheet-" + std::to_string(i);
    const auto mine = balancer_.Place(LongRequest(sheet), now_);
    const auto theirs = other.Place(LongRequest(sheet), now_);
    ASSERT_TRUE(mine && theirs);
    EXPECT_EQ(mine->server_id, theirs->server_id);
    used.insert(mine->server_id);
  }
  EXPECT_GE(used.size(), 7U);
}

TEST_F(LoadBalancerTest, SpreadsAHotPrefixWhenItsServerIsFull) {
  std::map<std::string, int> counts;
  for (int i = 0; i < 30; ++i) {
    ++counts[PlaceAndDispatch(LongRequest("hot"))];
  }
  EXPECT_GE(counts.size(), 4U);
  for (const auto& [id, n] : counts) {
    EXPECT_LE(n, 12) << id;
  }
}

TEST_F(LoadBalancerTest, CountsRequestsOfOtherGateways) {
  const std::string preferred =
      balancer_.Place(LongRequest("sheet"), now_)->server_id;
  {
    SCOPED_TRACE("avoids a server with long prompts of other gateways");
    const std::vector<ServerUsage> usages = {{preferred, 5, 40'000}};
    balancer_.OnPeerUsage("gateway-b", usages, true, now_);
    EXPECT_NE(balancer_.Place(LongRequest("sheet"), now_)->server_id,
              preferred);
  }
  {
    SCOPED_TRACE("usage that is not repeated expires");
    now_ += seconds(2);
    EXPECT_EQ(balancer_.Place(LongRequest("sheet"), now_)->server_id,
              preferred);
  }
}

// Plays a burst for one hot sheet. Engines that are given more than their
// memory holds push out cached parts and preempt requests, and all callers wait
// longer.
TEST_F(LoadBalancerTest, FillsNoEngineBeyondItsMemoryWhileOthersHaveRoom) {
  constexpr double kOwnTokens = 2900;  // Of each prompt; the rest is shared.
  constexpr double kMemoryTokens = 100'000;
  const int fitting = static_cast<int>(kMemoryTokens / kOwnTokens);
  std::map<std::string, int> running;
  const int requests = fitting * kServers / 2;  // Half of what all can hold.
  for (int i = 0; i < requests; ++i) {
    const PlacementRequest request = LongRequest("hot");
    const auto placement = balancer_.Place(request, now_);
    ASSERT_TRUE(placement);
    balancer_.OnDispatch(*placement, request, now_);
    balancer_.OnFirstByte(*placement);  // Its prompt is read, and it runs on.
    ++running[placement->server_id];
    now_ += milliseconds(1);
  }
  for (const auto& [id, n] : running) {
    EXPECT_LE(n, fitting) << id;
  }
  {
    SCOPED_TRACE("a request that only finds full engines is predicted to wait");
    const double cost = balancer_.Place(LongRequest("hot"), now_)->cost_ms;
    for (int i = 0; i < requests; ++i) {
      const PlacementRequest request = LongRequest("hot");
      const auto placement = balancer_.Place(request, now_);
      balancer_.OnDispatch(*placement, request, now_);
      balancer_.OnFirstByte(*placement);
    }
    EXPECT_GT(balancer_.Place(LongRequest("hot"), now_)->cost_ms, 2 * cost);
  }
}

// On the heaviest days, running requests take the memory that cached parts
// need, and engines evict parts that were used a second ago. An engine that
// still has them transfers nothing.
TEST_F(LoadBalancerTest, NamesASourceOfPartsThatMayHaveBeenEvicted) {
  const PlacementRequest request = LongRequest("sheet");
  const auto first = balancer_.Place(request, now_);
  balancer_.OnDispatch(*first, request, now_);
  now_ += seconds(1);
  {
    SCOPED_TRACE("not from a store that has not reported the parts");
    const auto second = balancer_.Place(request, now_);
    ASSERT_EQ(second->server_id, first->server_id);
    EXPECT_FALSE(second->fetch_from);
  }
  {
    SCOPED_TRACE("from the store that has them");
    balancer_.OnCacheStore({kStore, true, false, {{true, "v1/", "sheet"}}});
    EXPECT_EQ(balancer_.Place(request, now_)->fetch_from, kStore);
  }
  {
    SCOPED_TRACE("preferably from another server that used them lately");
    const std::string other =
        first->server_id == "engine-0" ? "engine-1" : "engine-0";
    avoided_ = {first->server_id};
    for (int i = 0; i < kServers; ++i) {
      const std::string id = "engine-" + std::to_string(i);
      if (id != first->server_id && id != other) {
        avoided_.push_back(id);
      }
    }
    const PlacementRequest elsewhere = LongRequest("sheet");
    balancer_.OnDispatch(*balancer_.Place(elsewhere, now_), elsewhere, now_);
    avoided_.clear();
    now_ += seconds(1);
    const auto third = balancer_.Place(LongRequest("sheet"), now_);
    const std::string& holder =
        third->server_id == other ? first->server_id : other;
    EXPECT_EQ(third->fetch_from, servers_[holder].address);
  }
}

TEST_F(LoadBalancerTest, FetchesFromTheCacheStoreOnlyPartsThatMayBeMissing) {
  const PlacementRequest request = LongRequest("sheet");
  const auto first = balancer_.Place(request, now_);
  {
    SCOPED_TRACE("unknown parts are fetched and saved");
    EXPECT_TRUE(first->fetch_from);
    EXPECT_TRUE(first->save_to);
    balancer_.OnDispatch(*first, request, now_);
  }
  {
    SCOPED_TRACE("parts that the server has are neither fetched nor saved");
    const auto second = balancer_.Place(request, now_);
    ASSERT_EQ(second->server_id, first->server_id);
    EXPECT_FALSE(second->fetch_from);
    EXPECT_FALSE(second->save_to);
  }
  {
    SCOPED_TRACE("parts are fetched after other prompts evicted them");
    std::vector<SentPrompt> prompts;
    for (std::uint64_t i = 0; i < 40; ++i) {
      prompts.push_back({first->server_id, {i}, {4000}});
    }
    balancer_.OnPeerPrompts(prompts, now_);
    EXPECT_TRUE(balancer_.Place(request, now_)->fetch_from);
  }
  {
    SCOPED_TRACE("nothing is fetched from a store that is down");
    balancer_.OnCacheStore({kStore, false, false, {}});
    EXPECT_FALSE(balancer_.Place(request, now_)->fetch_from);
  }
}

TEST_F(LoadBalancerTest, FetchesAHotPrefixFromAServerThatHoldsIt) {
  const PlacementRequest request = LongRequest("hot");
  const std::string preferred = PlaceAndDispatch(request);
  std::optional<Placement> other_server;
  for (int i = 0; i < 30 && !other_server; ++i) {
    auto placement = balancer_.Place(request, now_);
    balancer_.OnDispatch(*placement, request, now_);
    if (placement->server_id != preferred) {
      other_server = placement;
    }
  }
  ASSERT_TRUE(other_server);
  {
    SCOPED_TRACE("fetches from the preferred server, not the cache store");
    EXPECT_EQ(other_server->fetch_from, servers_[preferred].address);
    EXPECT_EQ(other_server->fetch_server_id, preferred);
  }
  {
    SCOPED_TRACE("further fetches are spread over both holders");
    std::set<std::string> sources;
    for (int i = 0; i < 60; ++i) {
      auto placement = balancer_.Place(request, now_);
      balancer_.OnDispatch(*placement, request, now_);
      if (placement->fetch_from) {
        sources.insert(placement->fetch_server_id);
      }
    }
    EXPECT_GE(sources.size(), 2U);
  }
  {
    SCOPED_TRACE("uses the store when the holder may have evicted the part");
    now_ += seconds(4);
    avoided_.clear();
    for (const auto& [id, server] : servers_) {
      if (server.service == "engines" && id != other_server->server_id) {
        avoided_.push_back(id);
      }
    }
    // Restarted with an empty cache.
    servers_[other_server->server_id].born_ms = 7;
    PublishView();
    const auto placement = balancer_.Place(LongRequest("hot"), now_);
    ASSERT_TRUE(placement);
    EXPECT_EQ(placement->fetch_from, kStore);
  }
}

TEST_F(LoadBalancerTest, FetchesNothingFromServersWithOtherWeights) {
  const PlacementRequest request = LongRequest("sheet");
  const std::string preferred = PlaceAndDispatch(request);
  SetTargetWeights(2);
  for (auto& [id, server] : servers_) {
    if (id != preferred && server.service == "engines") {
      server.weights["model"] = 2;
    }
  }
  now_ += seconds(2);
  PublishView();
  const auto placement = balancer_.Place(request, now_);
  ASSERT_NE(placement->server_id, preferred);
  EXPECT_EQ(placement->fetch_from, kStore);
}

TEST_F(LoadBalancerTest, AppliesPartialUsageReportsOfPeers) {
  const std::string preferred =
      balancer_.Place(LongRequest("sheet"), now_)->server_id;
  const std::vector<ServerUsage> all = {{preferred, 5, 40'000},
                                        {"engine-x", 1, 0}};
  balancer_.OnPeerUsage("gateway-b", all, true, now_);
  const std::vector<ServerUsage> other = {{"engine-x", 2, 0}};
  balancer_.OnPeerUsage("gateway-b", other, false, now_);
  {
    SCOPED_TRACE("a partial report leaves other servers unchanged");
    EXPECT_NE(balancer_.Place(LongRequest("sheet"), now_)->server_id,
              preferred);
  }
  const std::vector<ServerUsage> ended = {{preferred, 0, 0}};
  balancer_.OnPeerUsage("gateway-b", ended, false, now_);
  EXPECT_EQ(balancer_.Place(LongRequest("sheet"), now_)->server_id, preferred);
}

TEST_F(LoadBalancerTest, SharesNoPartsBetweenScopesOrVersions) {
  const PlacementRequest open = LongRequest("sheet");
  balancer_.OnDispatch(*balancer_.Place(open, now_), open, now_);
  scope_ = "walled";
  const PlacementRequest walled = LongRequest("sheet");
  EXPECT_TRUE(balancer_.Place(walled, now_)->fetch_from);
  EXPECT_NE(balancer_.Place(walled, now_)->saved_prefix_key,
            balancer_.Place(open, now_)->saved_prefix_key);
}

TEST_F(LoadBalancerTest, SpreadsPlainRequestsAndAvoidsFailingServers) {
  {
    SCOPED_TRACE("six requests spread as two for each of three servers");
    std::map<std::string, int> counts;
    for (int i = 0; i < 6; ++i) {
      ++counts[PlaceAndDispatch(PlainRequest())];
    }
    for (const auto& [id, n] : counts) {
      EXPECT_EQ(n, 2) << id;
    }
  }
  {
    SCOPED_TRACE("an unreachable server is ejected, then tried again");
    const auto placement = balancer_.Place(PlainRequest(), now_);
    balancer_.OnDispatch(*placement, PlainRequest(), now_);
    balancer_.OnEnd(*placement, AttemptOutcome::kUnreachable, now_);
    for (int i = 0; i < 4; ++i) {
      EXPECT_NE(balancer_.Place(PlainRequest(), now_)->server_id,
                placement->server_id);
    }
    now_ += seconds(9);
    std::set<std::string> tried;
    for (int i = 0; i < 12; ++i) {
      tried.insert(PlaceAndDispatch(PlainRequest()));
    }
    EXPECT_TRUE(tried.contains(placement->server_id));
  }
  {
    SCOPED_TRACE("servers already tried are not used again");
    avoided_ = {"plain-0", "plain-1", "plain-2"};
    EXPECT_FALSE(balancer_.Place(PlainRequest(), now_));
  }
}

TEST_F(LoadBalancerTest, AvoidsDrainingAndReplacedServers) {
  const std::string preferred =
      balancer_.Place(LongRequest("sheet"), now_)->server_id;
  {
    SCOPED_TRACE("draining");
    servers_[preferred].leaving = true;
    PublishView();
    EXPECT_FALSE(balancer_.IsUsable(preferred, 0, now_));
    EXPECT_NE(balancer_.Place(LongRequest("sheet"), now_)->server_id,
              preferred);
  }
  {
    SCOPED_TRACE("a server replaced at its address is not used");
    servers_[preferred].leaving = false;
    PublishView();
    balancer_.OnIncarnationMismatch(preferred);
    EXPECT_FALSE(balancer_.IsUsable(preferred, 0, now_));
  }
  {
    SCOPED_TRACE("a restarted server with the same id is used");
    servers_[preferred].born_ms = 5;
    PublishView();
    EXPECT_TRUE(balancer_.IsUsable(preferred, 5, now_));
    EXPECT_FALSE(balancer_.IsUsable(preferred, 0, now_));
  }
}

TEST_F(LoadBalancerTest, StopsUsingOldWeightsBeforeTheOperatorsLimit) {
  SetTargetWeights(2);
  {
    SCOPED_TRACE("old weights are used while no server has the new ones");
    EXPECT_TRUE(balancer_.Place(LongRequest("sheet"), now_));
  }
  servers_["engine-0"].weights["model"] = 2;
  PublishView();
  {
    SCOPED_TRACE("a placement has the weights version of its server");
    const auto placement = balancer_.Place(LongRequest("sheet"), now_);
    EXPECT_EQ(placement->weights_version,
              servers_[placement->server_id].weights["model"]);
  }
  {
    SCOPED_TRACE("a newer target does not extend the limit of old weights");
    now_ += seconds(5);
    SetTargetWeights(3);
    now_ += seconds(4);
    for (int i = 0; i < 20; ++i) {
      EXPECT_EQ(balancer_.Place(LongRequest("s" + std::to_string(i)), now_)
                    ->server_id,
                "engine-0");
    }
  }
}

TEST_F(LoadBalancerTest, SendsNothingToAServerThatSwitchesWeights) {
  const std::string preferred =
      balancer_.Place(LongRequest("sheet"), now_)->server_id;
  view_.rollout =
      std::make_shared<RolloutMap>(RolloutMap{{preferred, {"model", 1, true}}});
  PublishView();
  EXPECT_NE(balancer_.Place(LongRequest("sheet"), now_)->server_id, preferred);
  {
    SCOPED_TRACE("a switch without a reported end times out");
    now_ += seconds(5);
    EXPECT_EQ(balancer_.Place(LongRequest("sheet"), now_)->server_id,
              preferred);
  }
}

// Requests went on to expect weights that the server no longer had.
TEST_F(LoadBalancerTest, TakesTheWeightsThatAServerAnswersWith) {
  for (auto& [id, server] : servers_) {
    if (server.service == "engines") {
      server.weights["model"] = 3;
    }
  }
  PublishView();
  const auto weights = [&] {
    const auto placement = balancer_.Place(LongRequest("sheet"), now_);
    return placement ? placement->weights_version.value_or(0) : 0;
  };
  ASSERT_EQ(weights(), 3);
  for (int i = 0; i < kServers; ++i) {
    balancer_.OnVersionMismatch("engine-" + std::to_string(i), "model", 2);
  }
  EXPECT_EQ(weights(), 2);
  {
    SCOPED_TRACE("what others reported before says nothing new");
    PublishView();
    EXPECT_EQ(weights(), 2);
  }
  {
    SCOPED_TRACE("and back");
    for (int i = 0; i < kServers; ++i) {
      balancer_.OnVersionMismatch("engine-" + std::to_string(i), "model", 3);
    }
    EXPECT_EQ(weights(), 3);
  }
}

}  // namespace
}  // namespace peridotgate::gateway
