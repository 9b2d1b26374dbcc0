#include <gtest/gtest.h>

#include "../../src/server_speed.h"

namespace peridotgate::agent {
namespace {

using coordination::Duration;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kTokenInterval{330};  // Over all calls in the server.

class ServerSpeedTest : public testing::Test {
 protected:
  void Decode(Duration gap, Duration length) {
    for (Duration at{0}; at < length; at += kTokenInterval) {
      clock_.Advance(kTokenInterval);
      speed_.OnTokenGap(gap, clock_.Now());
    }
  }
  double Slowness() const { return speed_.Slowness(clock_.Now(), true); }

  coordination::ManualClock clock_;
  ServerSpeed speed_;
};

TEST_F(ServerSpeedTest, ShortSlowdownWithManyTokensDoesNotShiftTheNormal) {
  Decode(milliseconds(3), seconds(2));
  EXPECT_LT(Slowness(), 1.1);
  Decode(milliseconds(24), milliseconds(100));
  const double at_once = Slowness();
  EXPECT_GT(at_once, 3);
  Decode(milliseconds(24), seconds(2));
  EXPECT_GT(Slowness(), 0.9 * at_once);
  {
    SCOPED_TRACE("a lasting change becomes the normal in the end");
    Decode(milliseconds(24), seconds(600));
    EXPECT_LT(Slowness(), 1.1);
  }
}

TEST_F(ServerSpeedTest, OutlierPromptsDoNotShiftPrefillTime) {
  const auto prompts = [&](milliseconds per_piece, int n) {
    for (int i = 0; i < n; ++i) {
      speed_.OnFirstToken(3 * per_piece, 6000);
    }
    return std::chrono::duration<double, std::milli>(speed_.prefill_per_piece())
        .count();
  };
  prompts(milliseconds(8), 1);
  EXPECT_NEAR(prompts(milliseconds(50), 100), 50, 5)
      << "after a first prompt that was cached";
  EXPECT_LT(prompts(milliseconds(250), 8), 60) << "short slowdown";
  EXPECT_GT(prompts(milliseconds(5), 16), 40) << "some cached prompts";
  EXPECT_NEAR(prompts(milliseconds(200), 300), 200, 10) << "lasting change";
}

TEST_F(ServerSpeedTest, PrefillTimeIsUnknownBeforeTheFirstPrompt) {
  Decode(milliseconds(3), seconds(2));
  EXPECT_EQ(speed_.observed_prefill_per_piece(), Duration(0));
  speed_.OnFirstToken(milliseconds(20), 2000);
  EXPECT_EQ(speed_.observed_prefill_per_piece(), milliseconds(20));
}

}  // namespace
}  // namespace peridotgate::agent
