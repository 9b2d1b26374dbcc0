#include "coordination/share_exchange.h"

#include <algorithm>

#include <gtest/gtest.h>

#include "../share_network.h"

namespace peridotgate::coordination {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::int64_t kCost = 1000;
// Time for sums to go up, across data centres and down again, each step once
// per period of half a second.
constexpr seconds kSpread{3};

class ShareExchangeTest : public testing::Test {
 protected:
  ShareExchangeTest() { SetServedByAll(kCost); }

  void SetServedByAll(std::int64_t cost) {
    for (std::size_t i = 0; i < network_.agent_count(); ++i) {
      network_.agent(i).SetServed({{kLarge, cost}});
    }
  }

  // Service of the other agents' servers, which every agent should see.
  std::int64_t ExpectedElsewhere() const {
    return kCost * static_cast<std::int64_t>(network_.agent_count() - 1);
  }

  // Number of agents that see exactly the service of the others.
  std::size_t CountCorrectAgents() {
    std::size_t n = 0;
    for (std::size_t i = 0; i < network_.agent_count(); ++i) {
      n += network_.Elsewhere(i, kLarge) == ExpectedElsewhere() ? 1 : 0;
    }
    return n;
  }

  std::int64_t MaxElsewhere() {
    std::int64_t max_elsewhere = -1;
    for (std::size_t i = 0; i < network_.agent_count(); ++i) {
      max_elsewhere = std::max(max_elsewhere, network_.Elsewhere(i, kLarge));
    }
    return max_elsewhere;
  }

  // The entry of `data_centre` that sums `kLarge`, found by the sums that it
  // sends to other data centres.
  std::size_t SummingEntryOf(std::size_t data_centre) {
    std::size_t found = network_.entry_count();
    network_.on_sent = [&](std::size_t from, const OutgoingShares& it) {
      const bool is_in_data_centre = from / 3 == data_centre;
      if (is_in_data_centre &&
          it.message.stage == ShareStage::kFromDataCentre) {
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

TEST_F(ShareExchangeTest, EveryAgentSeesTheServiceOfAllOthers) {
  network_.Run(kSpread);
  EXPECT_EQ(CountCorrectAgents(), network_.agent_count());
  {
    SCOPED_TRACE("totals go only to agents that reported the account");
    network_.agent(0).SetServed({{kLarge, kCost}, {kSmall, 7}});
    network_.Run(kSpread);
    EXPECT_EQ(network_.Elsewhere(0, kSmall), 0);
    EXPECT_EQ(network_.Elsewhere(1, kSmall), -1);
  }
  {
    SCOPED_TRACE("service that has ended disappears everywhere");
    SetServedByAll(0);
    network_.Run(kSpread);
    EXPECT_EQ(MaxElsewhere(), 0);
  }
}

TEST_F(ShareExchangeTest, LostMessagesDelaySumsButNeverInflateThem) {
  network_.SetLoss(0.2);
  for (int i = 0; i < 40; ++i) {
    network_.Run(milliseconds(500));
    ASSERT_LE(MaxElsewhere(), ExpectedElsewhere());
  }
  network_.SetLoss(0);
  network_.Run(kSpread);
  EXPECT_EQ(CountCorrectAgents(), network_.agent_count());
}

TEST_F(ShareExchangeTest, ADeadSummingEntryIsReplacedBeforeItIsRemoved) {
  network_.Run(kSpread);
  const std::size_t dead = SummingEntryOf(0);
  ASSERT_LT(dead, network_.entry_count());
  network_.Kill(dead);
  // Three unanswered periods, then the way up and down again.
  network_.Run(seconds(5));
  for (std::size_t i = 0; i < 4; ++i) {
    EXPECT_GE(network_.Elsewhere(i, kLarge), 3 * kCost);
  }
  {
    SCOPED_TRACE("the entry is removed from the list");
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
    EXPECT_EQ(CountCorrectAgents(), network_.agent_count());
  }
}

TEST_F(ShareExchangeTest, DifferentViewsOfTheSummingEntryDoNotCountTwice) {
  network_.Run(kSpread);
  const std::size_t removed = SummingEntryOf(0);
  std::vector<SummingEntry> without = network_.entries();
  without.erase(without.begin() + static_cast<std::ptrdiff_t>(removed));
  // Another entry of the data centre removes it, then adds it again.
  const std::size_t disagreeing = (removed + 1) % 3;
  network_.entry(disagreeing).SetEntries(without);
  for (int i = 0; i < 20; ++i) {
    network_.Run(milliseconds(500));
    EXPECT_LE(MaxElsewhere(), ExpectedElsewhere());
  }
  network_.entry(disagreeing).SetEntries(network_.entries());
  network_.Run(kSpread);
  EXPECT_EQ(CountCorrectAgents(), network_.agent_count());
}

TEST_F(ShareExchangeTest, ARestartedAgentDoesNotCountTwice) {
  network_.Run(kSpread);
  network_.RestartAgent(0);
  network_.agent(0).SetServed({{kLarge, kCost}});
  OutgoingShares last_sent;
  network_.on_sent = [&](std::size_t from, const OutgoingShares& it) {
    last_sent = from == network_.entry_count() ? it : last_sent;
  };
  for (int i = 0; i < 10; ++i) {
    network_.Run(milliseconds(500));
    EXPECT_LE(MaxElsewhere(), ExpectedElsewhere());
  }
  EXPECT_EQ(CountCorrectAgents(), network_.agent_count());
  {
    SCOPED_TRACE("a message from before the restart is rejected");
    ShareMessage late = last_sent.message;
    late.period = 1;
    late.levels = {{kLarge, 50 * kCost}};
    EXPECT_FALSE(network_.entry(last_sent.to.port).OnMessage({"", 6}, late));
    network_.Run(milliseconds(500));
    EXPECT_LE(MaxElsewhere(), ExpectedElsewhere());
  }
}

TEST_F(ShareExchangeTest, TotalsExpireWithoutEntriesAndReturnWithThem) {
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
  // Avoided entries are used again.
  network_.Run(seconds(15));
  EXPECT_EQ(CountCorrectAgents(), network_.agent_count());
}

TEST_F(ShareExchangeTest, InvalidOrOutdatedMessagesAreRejected) {
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
