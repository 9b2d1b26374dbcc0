// Where requests are placed, under the loads that the book answers: long
// shared prompts, full and failing servers, and weights that change.
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

// Nine engines and three plain servers, as one gateway sees them.
class Book : public testing::Test {
 protected:
  Book() {
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
    Show();
    now_ += seconds(60);
    book_.OnCacheStore({kStore, true, false, {}});
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

  void Show() {
    view_.servers = std::make_shared<ServerMap>(servers_);
    book_.OnView(view_, now_);
  }

  void NameWeights(std::int64_t version) {
    view_.weights =
        std::make_shared<WeightsTargets>(WeightsTargets{{"model", version}});
    Show();
  }

  PlacementRequest Long(const std::string& sheet) {
    prompt_ = {{"root", 2500}, {sheet, 3800}, {"own-" + sheet, 2900}};
    return {"engines", "model", prompt_, scope_, "a", avoided_};
  }

  PlacementRequest Plain() { return {"plain", "", {}, "", "a", avoided_}; }

  std::string PlaceAndSend(const PlacementRequest& need) {
    const auto place = book_.Place(need, now_);
    if (!place) {
      return "";
    }
    book_.OnDispatch(*place, need, now_);
    return place->server_id;
  }

  FleetView view_;
  ServerMap servers_;
  std::vector<PromptPart> prompt_;
  std::string scope_;
  std::vector<std::string> avoided_;
  LoadBalancer book_;
  TimePoint now_{};
};

TEST_F(Book, KeepsAPrefixAtOneServerThatAllGatewaysPrefer) {
  std::set<std::string> used;
  LoadBalancer other;
  other.OnView(view_, now_);
  for (int i = 0; i < 40; ++i) {
    const std::string sheet = "sheet-" + std::to_string(i);
    const auto mine = book_.Place(Long(sheet), now_);
    const auto theirs = other.Place(Long(sheet), now_);
    ASSERT_TRUE(mine && theirs);
    EXPECT_EQ(mine->server_id, theirs->server_id);
    used.insert(mine->server_id);
  }
  EXPECT_GE(used.size(), 7U);
}

TEST_F(Book, MovesAHotPrefixOnceItsServerIsFull) {
  std::map<std::string, int> counts;
  for (int i = 0; i < 30; ++i) {
    ++counts[PlaceAndSend(Long("hot"))];
  }
  EXPECT_GE(counts.size(), 4U);
  for (const auto& [id, n] : counts) {
    EXPECT_LE(n, 12) << id;
  }
}

TEST_F(Book, CountsWhatOtherGatewaysHaveAtAServer) {
  const std::string home = book_.Place(Long("sheet"), now_)->server_id;
  {
    SCOPED_TRACE("others have long prompts there: the request goes elsewhere");
    const std::vector<ServerUsage> uses = {{home, 5, 40'000}};
    book_.OnPeerUsage("gateway-b", uses, true, now_);
    EXPECT_NE(book_.Place(Long("sheet"), now_)->server_id, home);
  }
  {
    SCOPED_TRACE("what is not repeated is forgotten");
    now_ += seconds(2);
    EXPECT_EQ(book_.Place(Long("sheet"), now_)->server_id, home);
  }
}

TEST_F(Book, LooksIntoTheCacheStoreOnlyForWhatMayBeMissing) {
  const PlacementRequest need = Long("sheet");
  const auto first = book_.Place(need, now_);
  {
    SCOPED_TRACE("nothing is known of the parts: looked for, and saved");
    EXPECT_TRUE(first->fetch_from);
    EXPECT_TRUE(first->save_to);
    book_.OnDispatch(*first, need, now_);
  }
  {
    SCOPED_TRACE("the server has them now: neither");
    const auto second = book_.Place(need, now_);
    ASSERT_EQ(second->server_id, first->server_id);
    EXPECT_FALSE(second->fetch_from);
    EXPECT_FALSE(second->save_to);
  }
  {
    SCOPED_TRACE("another gateway filled the server: looked for again");
    std::vector<SentPrompt> prompts;
    for (std::uint64_t i = 0; i < 40; ++i) {
      prompts.push_back({first->server_id, {i}, {4000}});
    }
    book_.OnPeerPrompts(prompts, now_);
    EXPECT_TRUE(book_.Place(need, now_)->fetch_from);
  }
  {
    SCOPED_TRACE("a store that is down is left alone");
    book_.OnCacheStore({kStore, false, false, {}});
    EXPECT_FALSE(book_.Place(need, now_)->fetch_from);
  }
}

TEST_F(Book, CopiesAHotPrefixFromAServerThatHoldsIt) {
  const PlacementRequest need = Long("hot");
  const std::string home = PlaceAndSend(need);
  std::optional<Placement> away;
  for (int i = 0; i < 30 && !away; ++i) {
    auto place = book_.Place(need, now_);
    book_.OnDispatch(*place, need, now_);
    if (place->server_id != home) {
      away = place;
    }
  }
  ASSERT_TRUE(away);
  {
    SCOPED_TRACE(
        "the home holds it: its link brings it, not the cache store's");
    EXPECT_EQ(away->fetch_from, servers_[home].address);
    EXPECT_EQ(away->fetch_server_id, home);
  }
  {
    SCOPED_TRACE("both hold it now: the next copies are shared out");
    std::set<std::string> sources;
    for (int i = 0; i < 60; ++i) {
      auto place = book_.Place(need, now_);
      book_.OnDispatch(*place, need, now_);
      if (place->fetch_from) {
        sources.insert(place->fetch_server_id);
      }
    }
    EXPECT_GE(sources.size(), 2U);
  }
  {
    SCOPED_TRACE("not used for a while: it may be evicted, the store is asked");
    now_ += seconds(4);
    avoided_.clear();
    for (const auto& [id, server] : servers_) {
      if (server.service == "engines" && id != away->server_id) {
        avoided_.push_back(id);
      }
    }
    servers_[away->server_id].born_ms = 7;  // Started again, empty.
    Show();
    const auto place = book_.Place(Long("hot"), now_);
    ASSERT_TRUE(place);
    EXPECT_EQ(place->fetch_from, kStore);
  }
}

TEST_F(Book, CopiesNothingFromServersWithOtherWeights) {
  const PlacementRequest need = Long("sheet");
  const std::string home = PlaceAndSend(need);
  NameWeights(2);
  for (auto& [id, server] : servers_) {
    if (id != home && server.service == "engines") {
      server.weights["model"] = 2;
    }
  }
  now_ += seconds(2);
  Show();
  const auto place = book_.Place(need, now_);
  ASSERT_NE(place->server_id, home);
  EXPECT_EQ(place->fetch_from, kStore);
}

TEST_F(Book, TakesWhatAnotherGatewayToldToHaveChanged) {
  const std::string home = book_.Place(Long("sheet"), now_)->server_id;
  const std::vector<ServerUsage> all = {{home, 5, 40'000}, {"engine-x", 1, 0}};
  book_.OnPeerUsage("gateway-b", all, true, now_);
  const std::vector<ServerUsage> other = {{"engine-x", 2, 0}};
  book_.OnPeerUsage("gateway-b", other, false, now_);
  {
    SCOPED_TRACE("what a partial notice does not name still holds");
    EXPECT_NE(book_.Place(Long("sheet"), now_)->server_id, home);
  }
  const std::vector<ServerUsage> ended = {{home, 0, 0}};
  book_.OnPeerUsage("gateway-b", ended, false, now_);
  EXPECT_EQ(book_.Place(Long("sheet"), now_)->server_id, home);
}

TEST_F(Book, SharesNothingBetweenScopesOrVersions) {
  const PlacementRequest open = Long("sheet");
  book_.OnDispatch(*book_.Place(open, now_), open, now_);
  scope_ = "walled";
  const PlacementRequest walled = Long("sheet");
  EXPECT_TRUE(book_.Place(walled, now_)->fetch_from);
  EXPECT_NE(book_.Place(walled, now_)->saved_prefix_key,
            book_.Place(open, now_)->saved_prefix_key);
}

TEST_F(Book, SpreadsPlainWorkAndAvoidsWhatFails) {
  {
    SCOPED_TRACE("six requests, two at each of three servers");
    std::map<std::string, int> counts;
    for (int i = 0; i < 6; ++i) {
      ++counts[PlaceAndSend(Plain())];
    }
    for (const auto& [id, n] : counts) {
      EXPECT_EQ(n, 2) << id;
    }
  }
  {
    SCOPED_TRACE("one that can't be reached is left alone, then tried again");
    const auto place = book_.Place(Plain(), now_);
    book_.OnDispatch(*place, Plain(), now_);
    book_.OnEnd(*place, AttemptOutcome::kUnreachable, now_);
    for (int i = 0; i < 4; ++i) {
      EXPECT_NE(book_.Place(Plain(), now_)->server_id, place->server_id);
    }
    now_ += seconds(9);
    std::set<std::string> tried;
    for (int i = 0; i < 12; ++i) {
      tried.insert(PlaceAndSend(Plain()));
    }
    EXPECT_TRUE(tried.contains(place->server_id));
  }
  {
    SCOPED_TRACE("servers already tried are not used again");
    avoided_ = {"plain-0", "plain-1", "plain-2"};
    EXPECT_FALSE(book_.Place(Plain(), now_));
  }
}

TEST_F(Book, LeavesServersThatLeaveOrWereReplaced) {
  const std::string home = book_.Place(Long("sheet"), now_)->server_id;
  {
    SCOPED_TRACE("draining");
    servers_[home].leaving = true;
    Show();
    EXPECT_FALSE(book_.IsUsable(home));
    EXPECT_NE(book_.Place(Long("sheet"), now_)->server_id, home);
  }
  {
    SCOPED_TRACE("another incarnation answered at its address");
    servers_[home].leaving = false;
    Show();
    book_.OnIncarnationMismatch(home);
    EXPECT_FALSE(book_.IsUsable(home));
  }
  {
    SCOPED_TRACE("the same id, started again: a new life");
    servers_[home].born_ms = 5;
    Show();
    EXPECT_TRUE(book_.IsUsable(home));
  }
}

TEST_F(Book, StopsUsingOldWeightsBeforeTheOperatorsLimit) {
  NameWeights(2);
  {
    SCOPED_TRACE("nobody has them yet: the old ones serve");
    EXPECT_TRUE(book_.Place(Long("sheet"), now_));
  }
  servers_["engine-0"].weights["model"] = 2;
  Show();
  {
    SCOPED_TRACE("a request names the version it relies on");
    const auto place = book_.Place(Long("sheet"), now_);
    EXPECT_EQ(place->weights_version,
              servers_[place->server_id].weights["model"]);
  }
  {
    SCOPED_TRACE("a newer name does not renew the old one's time");
    now_ += seconds(5);
    NameWeights(3);
    now_ += seconds(4);
    for (int i = 0; i < 20; ++i) {
      EXPECT_EQ(book_.Place(Long("s" + std::to_string(i)), now_)->server_id,
                "engine-0");
    }
  }
}

TEST_F(Book, SendsNothingToAServerThatIsSwitching) {
  const std::string home = book_.Place(Long("sheet"), now_)->server_id;
  view_.rollout =
      std::make_shared<RolloutMap>(RolloutMap{{home, {"model", 1, true}}});
  Show();
  EXPECT_NE(book_.Place(Long("sheet"), now_)->server_id, home);
  {
    SCOPED_TRACE("the end of the switch was not told: tried again in time");
    now_ += seconds(5);
    EXPECT_EQ(book_.Place(Long("sheet"), now_)->server_id, home);
  }
}

}  // namespace
}  // namespace peridotgate::gateway
