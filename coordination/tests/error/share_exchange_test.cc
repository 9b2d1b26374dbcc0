#include "coordination/share_exchange.h"

#include <algorithm>

#include <gtest/gtest.h>

#include "../share_network.h"

namespace peridotgate::coordination {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::int64_t kCost = 1000;
// Up, across and down, each once in a period of half a second.
constexpr seconds kSpread{3};

class ShareExchangeTest : public testing::Test {
 protected:
  ShareExchangeTest() { AllServe(kCost); }

  void AllServe(std::int64_t cost) {
    for (std::size_t i = 0; i < network_.agent_count(); ++i) {
      network_.agent(i).SetServed({{kLarge, cost}});
    }
  }

  // What others gave, as every agent should be told.
  std::int64_t Others() const {
    return kCost * static_cast<std::int64_t>(network_.agent_count() - 1);
  }

  // Agents that are told just what others gave.
  std::size_t Right() {
    std::size_t n = 0;
    for (std::size_t i = 0; i < network_.agent_count(); ++i) {
      n += network_.Elsewhere(i, kLarge) == Others() ? 1 : 0;
    }
    return n;
  }

  std::int64_t MostTold() {
    std::int64_t most = -1;
    for (std::size_t i = 0; i < network_.agent_count(); ++i) {
      most = std::max(most, network_.Elsewhere(i, kLarge));
    }
    return most;
  }

  // The entry of data centre 0 that sums `kLarge`: who answers entries.
  std::size_t SummingEntryOf(std::size_t data_centre) {
    std::size_t found = network_.entry_count();
    network_.on_sent = [&](std::size_t from, const OutgoingShares& it) {
      const bool here = from / 3 == data_centre;
      if (here && it.message.stage == ShareStage::kFromDataCentre) {
        found = from;
      }
    };
    network_.Run(seconds(1));
    network_.on_sent = nullptr;
    return found;
  }

  const AccountKey kLarge = AccountOf("model:horn-1", "large");
  const AccountKey kSmall = AccountOf("model:horn-1", "small");
  ShareNetwork network_{{}};
};

TEST_F(ShareExchangeTest, EveryAgentLearnsWhatAllOthersGave) {
  network_.Run(kSpread);
  EXPECT_EQ(Right(), network_.agent_count());
  {
    SCOPED_TRACE("only who named an organisation is told of it");
    network_.agent(0).SetServed({{kLarge, kCost}, {kSmall, 7}});
    network_.Run(kSpread);
    EXPECT_EQ(network_.Elsewhere(0, kSmall), 0);
    EXPECT_EQ(network_.Elsewhere(1, kSmall), -1);
  }
  {
    SCOPED_TRACE("what is no longer given fades everywhere");
    AllServe(0);
    network_.Run(kSpread);
    EXPECT_EQ(MostTold(), 0);
  }
}

TEST_F(ShareExchangeTest, LostMessagesMakeSumsLateAndNeverTooLarge) {
  network_.SetLoss(0.2);
  for (int i = 0; i < 40; ++i) {
    network_.Run(milliseconds(500));
    ASSERT_LE(MostTold(), Others());
  }
  network_.SetLoss(0);
  network_.Run(kSpread);
  EXPECT_EQ(Right(), network_.agent_count());
}

TEST_F(ShareExchangeTest, ASummingEntryThatDiesIsReplacedWithoutNotice) {
  network_.Run(kSpread);
  const std::size_t dead = SummingEntryOf(0);
  ASSERT_LT(dead, network_.entry_count());
  network_.Kill(dead);
  // Three unanswered periods, and the way up and down again.
  network_.Run(seconds(5));
  for (std::size_t i = 0; i < 4; ++i) {
    EXPECT_GE(network_.Elsewhere(i, kLarge), 3 * kCost);
  }
  {
    SCOPED_TRACE("and is known to be gone");
    std::vector<SummingEntry> left = network_.entries();
    left.erase(left.begin() + static_cast<std::ptrdiff_t>(dead));
    for (std::size_t i = 0; i < network_.entry_count(); ++i) {
      if (i != dead) {
        network_.entry(i).SetEntries(left);
      }
    }
    for (std::size_t i = 0; i < network_.agent_count(); ++i) {
      network_.agent(i).SetEntries(left);
    }
    network_.Run(kSpread);
    EXPECT_EQ(Right(), network_.agent_count());
  }
}

TEST_F(ShareExchangeTest, TwoViewsOfWhoSumsNeverCountTwice) {
  network_.Run(kSpread);
  const std::size_t doubted = SummingEntryOf(0);
  std::vector<SummingEntry> without = network_.entries();
  without.erase(without.begin() + static_cast<std::ptrdiff_t>(doubted));
  // One other entry of the data centre takes it for gone, then sees it again.
  const std::size_t doubting = (doubted + 1) % 3;
  network_.entry(doubting).SetEntries(without);
  for (int i = 0; i < 20; ++i) {
    network_.Run(milliseconds(500));
    EXPECT_LE(MostTold(), Others());
  }
  network_.entry(doubting).SetEntries(network_.entries());
  network_.Run(kSpread);
  EXPECT_EQ(Right(), network_.agent_count());
}

TEST_F(ShareExchangeTest, ARestartedAgentDoesNotCountTwice) {
  network_.Run(kSpread);
  network_.RestartAgent(0);
  network_.agent(0).SetServed({{kLarge, kCost}});
  OutgoingShares told;
  network_.on_sent = [&](std::size_t from, const OutgoingShares& it) {
    told = from == network_.entry_count() ? it : told;
  };
  for (int i = 0; i < 10; ++i) {
    network_.Run(milliseconds(500));
    EXPECT_LE(MostTold(), Others());
  }
  EXPECT_EQ(Right(), network_.agent_count());
  {
    SCOPED_TRACE("a message of its earlier life is not taken");
    ShareMessage late = told.message;
    late.period = 1;
    late.levels = {{kLarge, 50 * kCost}};
    EXPECT_FALSE(network_.entry(told.to.port).OnMessage({"", 6}, late));
    network_.Run(milliseconds(500));
    EXPECT_LE(MostTold(), Others());
  }
}

TEST_F(ShareExchangeTest, WithoutEntriesAnAgentFallsBackToItsOwnCounts) {
  network_.Run(kSpread);
  const std::uint64_t before = network_.agent(0).changes();
  for (std::size_t i = 0; i < network_.entry_count(); ++i) {
    network_.Kill(i);
  }
  network_.Run(seconds(4));
  EXPECT_TRUE(network_.agent(0).Elsewhere().empty());
  EXPECT_GT(network_.agent(0).changes(), before);
  for (std::size_t i = 0; i < network_.entry_count(); ++i) {
    network_.Start(i);
  }
  // The entries that were passed over are taken again.
  network_.Run(seconds(15));
  EXPECT_EQ(Right(), network_.agent_count());
}

TEST_F(ShareExchangeTest, WhatIsTooLargeOrUnnamedIsRefused) {
  ShareMessage message;
  message.sender = "agent-9";
  message.period = 1;
  message.levels.resize(ShareOptions().max_levels + 1);
  EXPECT_FALSE(network_.entry(0).OnMessage({"", 99}, message));
  message.levels.resize(1);
  EXPECT_TRUE(network_.entry(0).OnMessage({"", 99}, message));
  EXPECT_FALSE(network_.entry(0).OnMessage({"", 99}, message));
  EXPECT_FALSE(network_.agent(0).OnMessage({"", 99}, message));
  message.sender.clear();
  EXPECT_FALSE(network_.entry(0).OnMessage({"", 99}, message));
}

}  // namespace
}  // namespace peridotgate::coordination
