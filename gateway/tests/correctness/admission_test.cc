// Callers of a service that is offered more than it can finish: those that can
// still be served are, the others are told at once when to come back.
#include "gateway/admission.h"

#include <algorithm>
#include <cstdint>
#include <deque>
#include <functional>
#include <random>

#include <gtest/gtest.h>

namespace peridotgate::gateway {
namespace {

using std::chrono::milliseconds;

AdmissionRequest Request(double cost_ms, int caller_waits_ms) {
  return {"engines", cost_ms, milliseconds(caller_waits_ms), 512};
}

TEST(Admission, RefusesWhatStartsAfterItsCallerHasLeft) {
  Admission admission;
  EXPECT_FALSE(admission.RetryAfter(Request(700, 1000)));
  {
    SCOPED_TRACE("the caller returns when half of its time is enough");
    EXPECT_EQ(admission.RetryAfter(Request(1500, 1000)), milliseconds(1000));
  }
}

TEST(Admission, LearnsHowMuchSlowerAnEngineIsThanPredicted) {
  Admission admission;
  for (int i = 0; i < 200; ++i) {
    admission.OnFirstByte("engines", 400, milliseconds(1600));
  }
  EXPECT_NEAR(admission.Predict("engines", 400).count(), 1600, 100);
  EXPECT_TRUE(admission.RetryAfter(Request(400, 1000)));
  {
    SCOPED_TRACE("other services are not affected");
    EXPECT_EQ(admission.Predict("plain", 400), milliseconds(400));
  }
  {
    SCOPED_TRACE("a few extreme times do not close the service");
    for (int i = 0; i < 1000; ++i) {
      admission.OnFirstByte("engines", 10, milliseconds(60000));
    }
    EXPECT_FALSE(admission.RetryAfter(Request(100, 1000)));
  }
}

TEST(Admission, SpreadsTheReturnOfCallers) {
  Admission admission;
  AdmissionRequest request = Request(3000, 1000);
  milliseconds first{100'000};
  milliseconds last{0};
  for (std::uint64_t i = 0; i < 1000; ++i) {
    request.id_hash = 7919 * i;
    const auto after = admission.RetryAfter(request);
    ASSERT_TRUE(after);
    first = std::min(first, *after);
    last = std::max(last, *after);
  }
  EXPECT_GT(last - first, milliseconds(1000));
}

// One engine that serves requests in order, at half of the predicted speed.
// Callers leave after two seconds, and the engine does not notice before it
// reaches their request.
struct BurstResult {
  int served = 0;
  int refused = 0;
  int left = 0;
  milliseconds longest_refusal{0};
};

BurstResult PlayBurst(bool refuse) {
  constexpr milliseconds kCallerWaits{2000};
  constexpr double kPredictedMs = 25;
  constexpr milliseconds kActual{50};
  Admission admission;
  for (int i = 0; i < 100; ++i) {  // A calm minute before.
    admission.OnFirstByte("engines", kPredictedMs, kActual);
  }
  std::mt19937_64 random(1);
  BurstResult result;
  struct Queued {
    milliseconds arrived{0};
    double cost_ms = 0;
  };
  std::deque<Queued> queue;
  milliseconds engine_free{0};
  milliseconds next_arrival{0};
  constexpr milliseconds kEnd{20'000};
  for (milliseconds now{0}; now < kEnd; ++now) {
    while (next_arrival <= now) {
      // Of 20 requests a second that fit, 16 arrive; 50 in the burst.
      const bool burst = now > milliseconds(4000) && now < milliseconds(9000);
      next_arrival += milliseconds(burst ? 20 : 60);
      const double cost = kPredictedMs * static_cast<double>(queue.size() + 1);
      const AdmissionRequest request{"engines", cost, kCallerWaits, random()};
      if (refuse && admission.RetryAfter(request)) {
        ++result.refused;
        continue;
      }
      queue.push_back({now, cost});
    }
    if (engine_free <= now && !queue.empty()) {
      const Queued next = queue.front();
      queue.pop_front();
      const milliseconds waited = now - next.arrived + kActual;
      engine_free = now + kActual;
      (waited <= kCallerWaits ? result.served : result.left) += 1;
      if (waited <= kCallerWaits) {
        admission.OnFirstByte("engines", next.cost_ms, waited);
      }
    }
  }
  return result;
}

TEST(Admission, KeepsServingThroughABurstOfMoreThanTwiceWhatFits) {
  const BurstResult without = PlayBurst(false);
  const BurstResult with = PlayBurst(true);
  {
    SCOPED_TRACE("more callers are served");
    EXPECT_GT(with.served, without.served);
  }
  {
    SCOPED_TRACE("nearly nobody waits in vain");
    EXPECT_GT(without.left, 50);
    EXPECT_LT(with.left, with.served / 20);
  }
}

}  // namespace
}  // namespace peridotgate::gateway
