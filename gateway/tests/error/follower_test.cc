// Gateways of a data centre must keep getting rows through each other when the
// store or the gateway that reads it fails.
#include "gateway/follower.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include <gtest/gtest.h>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "../plain_format.h"

namespace peridotgate::gateway {
namespace {

// The contents of a store.
class TestStore {
 public:
  void Put(const std::string& table,
           const std::string& key,
           const std::string& value) {
    ++version_;
    tables_[table][key] = {key, value, {era_, version_}, value.empty()};
  }

  StoredRows ChangesAfter(const std::string& table,
                          std::int64_t version) const {
    StoredRows rows;
    rows.version = {era_, version_};
    auto found = tables_.find(table);
    if (found != tables_.end()) {
      for (const auto& [key, row] : found->second) {
        if (row.version.number > version && (version > 0 || !row.removed)) {
          rows.rows.push_back(row);
        }
      }
    }
    return rows;
  }

  // Comes back in a new era with one row in each table.
  void Restore(const std::string& rules) {
    ++era_;
    version_ = 0;
    tables_.clear();
    Put("rules", "rules", rules);
    Put("servers", "a", "ready");
  }
  std::int64_t era() const { return era_; }

 private:
  std::map<std::string, std::map<std::string, StoredRow>> tables_;
  std::int64_t era_ = 1;
  std::int64_t version_ = 0;
};

// One gateway's client of the store, which can be cut off.
class StoreClient : public Store {
 public:
  StoreClient(asio::io_context& context, const TestStore& store)
      : context_(context), store_(store) {}

  asio::awaitable<Result<StoredRows, StoreError>> ReadAll(
      std::string table) override {
    ++calls;
    if (unreachable) {
      co_return StoreError::kUnavailable;
    }
    LearnEra(store_.era());
    co_return store_.ChangesAfter(table, 0);
  }

  asio::awaitable<Result<StoredRows, StoreError>> Follow(
      std::string table,
      StoreVersion after,
      std::chrono::milliseconds wait) override {
    ++calls;
    const auto end = std::chrono::steady_clock::now() + wait;
    StoredRows rows = store_.ChangesAfter(table, after.number);
    while (!unreachable && rows.rows.empty() &&
           std::chrono::steady_clock::now() < end) {
      asio::steady_timer timer(context_, std::chrono::milliseconds(2));
      co_await timer.async_wait(asio::use_awaitable);
      rows = store_.ChangesAfter(table, after.number);
    }
    if (unreachable) {
      co_return StoreError::kUnavailable;
    }
    LearnEra(store_.era());
    if (after.era != era()) {
      co_return StoreError::kHistoryGone;
    }
    co_return rows;
  }

  asio::awaitable<Result<StoredWrite, StoreError>> Write(
      std::string /*table*/,
      std::string /*key*/,
      std::string /*value*/,
      std::optional<StoreVersion> /*expected*/) override {
    co_return StoreError::kUnavailable;
  }

  bool unreachable = false;
  int calls = 0;

 private:
  asio::io_context& context_;
  const TestStore& store_;
};

class Gateways : public testing::Test {
 protected:
  struct Node {
    GatewaySettings settings;
    std::unique_ptr<StoreClient> store;
    std::unique_ptr<Follower> follower;
    bool silent = false;  // Does not answer its peers.
  };

  Gateways() {
    store_.Put("rules", "rules", "1");
    store_.Put("servers", "a", "ready");
    for (int i = 1; i <= 3; ++i) {
      Add(i);
    }
    std::vector<PeerGateway> all;
    for (const auto& it : nodes_) {
      all.push_back({it->settings.peers, "one"});
    }
    for (const auto& it : nodes_) {
      it->follower->OnPeers(all);
      it->follower->Start();
    }
  }

  void Add(int host) {
    auto node = std::make_unique<Node>();
    node->settings.peers = {"10.0.0." + std::to_string(host), 80};
    node->settings.data_centre = "one";
    node->store = std::make_unique<StoreClient>(duty_.context(), store_);
    node->follower = std::make_unique<Follower>(
        duty_, clock_, node->settings, *node->store, format_,
        [](const FleetView&) {},
        [this](runtime::Endpoint peer, wire::FeedQuery query) {
          return QueryPeer(std::move(peer), std::move(query));
        },
        metrics_);
    nodes_.push_back(std::move(node));
  }

  asio::awaitable<std::optional<wire::FeedCopy>> QueryPeer(
      runtime::Endpoint peer,
      wire::FeedQuery query) {
    for (const auto& it : nodes_) {
      if (it->settings.peers == peer && !it->silent) {
        wire::FeedCopy copy = co_await it->follower->Answer(std::move(query));
        if (it->silent) {
          co_return std::nullopt;  // It fell silent while it held the query.
        }
        co_return copy;
      }
    }
    co_return std::nullopt;
  }

  // Runs until the condition holds; returns false if it does not within a
  // minute.
  bool Eventually(const std::function<bool()>& holds) {
    const auto end = std::chrono::steady_clock::now() + std::chrono::minutes(1);
    while (!holds()) {
      if (std::chrono::steady_clock::now() > end) {
        return false;
      }
      duty_.context().run_one_for(std::chrono::milliseconds(10));
    }
    return true;
  }

  bool AllKnowRules(std::int64_t version) {
    return Eventually([&] {
      for (const auto& it : nodes_) {
        const auto& rules = it->follower->state().view().rules;
        if (!rules || rules->version() != version) {
          return false;
        }
      }
      return true;
    });
  }

  bool AllLack(const std::string& server) {
    return Eventually([&] {
      for (const auto& it : nodes_) {
        const auto& servers = it->follower->state().view().servers;
        if (!servers || servers->contains(server)) {
          return false;
        }
      }
      return true;
    });
  }

  runtime::Duty duty_{"test"};
  coordination::SteadyClock clock_;
  runtime::Metrics metrics_;
  PlainFormat format_;
  TestStore store_;
  std::vector<std::unique_ptr<Node>> nodes_;
};

TEST_F(Gateways, LearnWhatOneOfThemReads) {
  ASSERT_TRUE(AllKnowRules(1));
  {
    SCOPED_TRACE("all get the changes, and only the first calls the store");
    store_.Put("rules", "rules", "2");
    store_.Put("servers", "b", "ready");
    store_.Put("servers", "a", "");
    EXPECT_TRUE(AllKnowRules(2));
    EXPECT_TRUE(AllLack("a"));
    EXPECT_GT(nodes_[0]->store->calls, 0);
    EXPECT_EQ(nodes_[1]->store->calls, 0);
    EXPECT_EQ(nodes_[2]->store->calls, 0);
  }
  {
    SCOPED_TRACE("the next gateway reads when the reader stops answering");
    nodes_[0]->silent = true;
    store_.Put("rules", "rules", "3");
    EXPECT_TRUE(AllKnowRules(3));
    EXPECT_GT(nodes_[1]->store->calls, 0);
  }
}

TEST_F(Gateways, LearnOfARestoreThroughOneOfThem) {
  for (int i = 2; i <= 20; ++i) {
    store_.Put("rules", "rules", std::to_string(i));
  }
  ASSERT_TRUE(AllKnowRules(20));
  {
    SCOPED_TRACE("rules in force stay, as the copy has older ones");
    store_.Restore("5");
    ASSERT_TRUE(
        Eventually([&] { return nodes_[2]->store->era() == store_.era(); }));
    EXPECT_TRUE(AllKnowRules(20));
  }
  {
    SCOPED_TRACE("later changes come to all, with versions given out again");
    store_.Put("rules", "rules", "21");
    EXPECT_TRUE(AllKnowRules(21));
    EXPECT_EQ(nodes_[1]->store->calls, 0);
    EXPECT_EQ(nodes_[2]->store->calls, 0);
  }
}

TEST_F(Gateways, LearnFromPeersThatReachTheStore) {
  ASSERT_TRUE(AllKnowRules(1));
  {
    SCOPED_TRACE("a reader cut off from the store gets rows from peers");
    nodes_[0]->store->unreachable = true;
    store_.Put("rules", "rules", "2");
    EXPECT_TRUE(AllKnowRules(2));
  }
  {
    SCOPED_TRACE("known rows stay when the store refuses all gateways");
    nodes_[1]->store->unreachable = true;
    nodes_[2]->store->unreachable = true;
    store_.Put("rules", "rules", "3");
    EXPECT_TRUE(Eventually([&] { return nodes_[2]->store->calls > 2; }));
    for (const auto& it : nodes_) {
      EXPECT_EQ(it->follower->state().view().rules->version(), 2);
    }
  }
  {
    SCOPED_TRACE("all get changes through one gateway that has the store");
    nodes_[2]->store->unreachable = false;
    EXPECT_TRUE(AllKnowRules(3));
  }
}

}  // namespace
}  // namespace peridotgate::gateway
