// An entry that dies without closing its link must not hold its streams for
// ever: the link is closed, and its streams are cancelled after a grace time.
#include <gtest/gtest.h>

#include "../core_harness.h"
#include "peer_links.h"

namespace peridotgate::agent {
namespace {

constexpr LinkNumber kLink = 1;
constexpr const char* kLoopback = "127.0.0.1";

// An agent's links and one entry, which responds to probes if `responds_`.
class SilentLink : public testing::Test {
 protected:
  SilentLink()
      : links_(
            metrics_,
            [this](LinkNumber from, wire::Message&& /*message*/) {
              number_ = from;
              ++messages_received_;
            },
            [this](LinkNumber /*closed*/) { ++closed_; }),
        listener_(context_, metrics_, [this](const auto& it) {
          links_.Add(it);
        }) {
    std::string error;
    EXPECT_TRUE(listener_.Listen({kLoopback, 0}, error)) << error;
    entry_ = wire::Link::Connecting(context_, {kLoopback, listener_.port()},
                                    metrics_);
    entry_->Start(
        [this](wire::Link& from, wire::Message&& /*message*/) {
          ++probes_;
          if (responds_) {
            from.Send(wire::Hello());
          }
        },
        [this](wire::Link& /*closed*/) { ++entry_closed_; });
    entry_->Send(wire::Hello());
    EXPECT_TRUE(RunUntil([this] { return messages_received_ == 1; }));
  }
  ~SilentLink() override {
    entry_->Close();
    RunUntil([this] { return closed_ == 1 && entry_closed_ == 1; });
  }

  template <class Done>
  bool RunUntil(Done done) {
    constexpr int kTurns = 2000;
    for (int i = 0; i < kTurns && !done(); ++i) {
      context_.run_for(std::chrono::milliseconds(5));
      context_.restart();
    }
    return done();
  }

  // Passes the ticks after which a silent link is closed, and waits for each
  // response to a probe.
  void PassSilentTicks(bool attached) {
    constexpr wire::LinkPatience kPatience = PeerLinks::kPatience;
    for (int i = 1; i <= kPatience.close_after_ticks; ++i) {
      const int heard = messages_received_;
      links_.Tick(attached ? std::unordered_set<LinkNumber>{number_}
                           : std::unordered_set<LinkNumber>{});
      if (attached && responds_ && i % kPatience.ask_after_ticks == 0) {
        EXPECT_TRUE(RunUntil([&] { return messages_received_ > heard; }));
      }
    }
  }

  boost::asio::io_context context_{1};
  runtime::Metrics metrics_;
  PeerLinks links_;
  wire::LinkListener listener_;
  std::shared_ptr<wire::Link> entry_;
  LinkNumber number_ = 0;
  bool responds_ = true;
  int messages_received_ = 0;
  int probes_ = 0;
  int closed_ = 0;
  int entry_closed_ = 0;
};

TEST_F(SilentLink, IsProbedAndStaysOpenWhileItResponds) {
  PassSilentTicks(true);
  EXPECT_GT(probes_, 0);
  EXPECT_EQ(closed_, 0);
}

TEST_F(SilentLink, IsClosedWhileStreamsAreAttached) {
  responds_ = false;
  PassSilentTicks(true);
  EXPECT_TRUE(RunUntil([this] { return closed_ == 1; }));
}

TEST_F(SilentLink, IsNotProbedWithoutStreams) {
  responds_ = false;
  PassSilentTicks(false);
  EXPECT_EQ(probes_, 0);
  EXPECT_EQ(closed_, 0);
}

TEST(StreamOfAClosedLink, IsCancelledAfterTheDetachedGrace) {
  CoreHarness it;
  it.core.OnDispatch(kLink, CoreHarness::MakeDispatch(7, true));
  it.FromBackend(7, BackendHead{200, "text/event-stream"});
  EXPECT_TRUE(it.core.AttachedLinks().contains(kLink));
  it.core.OnLinkClosed(kLink);
  EXPECT_TRUE(it.core.AttachedLinks().empty());
  it.core.Tick();
  EXPECT_EQ(it.outputs.Cancels(), 0U);
  it.clock.Advance(AgentLimits().detached_grace + std::chrono::milliseconds(1));
  it.core.Tick();
  EXPECT_EQ(it.outputs.Cancels(), 1U);
}

}  // namespace
}  // namespace peridotgate::agent
