// A link is probed and closed when it is silent while requests wait, dropped
// when its peer is no longer a member, and kept otherwise.
#include "wire/link_watch.h"

#include <gtest/gtest.h>

namespace peridotgate::wire {
namespace {

constexpr LinkPatience kTimeouts{2, 6, 120};

// The 1-based tick at which a new watch first returns `step`, or 0 if it does
// not within `ticks`.
int FirstTick(LinkStep step, LinkUse use, int ticks) {
  LinkWatch watch(kTimeouts);
  for (int n = 1; n <= ticks; ++n) {
    if (watch.OnTick(use) == step) {
      return n;
    }
  }
  return 0;
}

TEST(LinkWatch, ProbesThenClosesSilentLinkWithWaitingRequests) {
  EXPECT_EQ(FirstTick(LinkStep::kAsk, LinkUse::kWaiting, 10), 2);
  EXPECT_EQ(FirstTick(LinkStep::kClose, LinkUse::kWaiting, 10), 6);
}

TEST(LinkWatch, KeepsIdleLinkToKnownProcess) {
  for (LinkStep it : {LinkStep::kAsk, LinkStep::kClose, LinkStep::kDrop}) {
    EXPECT_EQ(FirstTick(it, LinkUse::kIdle, 1000), 0);
  }
}

TEST(LinkWatch, DropsLinkToRemovedProcess) {
  EXPECT_EQ(FirstTick(LinkStep::kDrop, LinkUse::kForgotten, 200), 120);
}

TEST(LinkWatch, RestartsCountWhenProcessReturns) {
  LinkWatch watch(kTimeouts);
  for (int n = 1; n < 120; ++n) {
    EXPECT_EQ(watch.OnTick(LinkUse::kForgotten), LinkStep::kNothing);
  }
  EXPECT_EQ(watch.OnTick(LinkUse::kIdle), LinkStep::kNothing);
  EXPECT_EQ(watch.OnTick(LinkUse::kForgotten), LinkStep::kNothing);
}

}  // namespace
}  // namespace peridotgate::wire
