#include "agent/scheduler.h"

#include <optional>

#include <gtest/gtest.h>

namespace peridotgate::agent {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr milliseconds kStep{10};
constexpr milliseconds kShortPrefillTime{120};
constexpr milliseconds kLongPrefillTime{1200};

// Simulates a server with strict priorities that computes one prompt at a time
// and always has short calls waiting.
class LongTurnsTest : public testing::Test {
 protected:
  void Push(bool long_work) {
    ScheduledCall call;
    call.request_id = {++last_id_, 0};
    call.organisation = long_work ? "rentals" : "tailors";
    call.kind = long_work ? "contract" : "quote";
    call.prefill_tokens = long_work ? 48000 : 4800;
    call.cost = call.prefill_tokens + 1;
    call.long_work = long_work;
    call.streamed = true;
    call.wait_limit = long_work ? seconds(8) : seconds(1000);
    call.arrived = clock_.Now();
    scheduler_.Push(std::move(call));
  }

  void StartReadyCalls() {
    while (auto next = scheduler_.Next()) {
      scheduler_.StartsInTime(*next);
      scheduler_.OnHandedOver(next->request_id);
      (next->long_work ? long_call_ : short_call_) = *next;
      (next->long_work ? long_left_ : short_left_) =
          next->long_work ? kLongPrefillTime : kShortPrefillTime;
    }
  }

  // Advances the server by one step; the short prompt goes first.
  void Step() {
    clock_.Advance(kStep);
    std::optional<ScheduledCall>& call = short_call_ ? short_call_ : long_call_;
    milliseconds& left = short_call_ ? short_left_ : long_left_;
    left -= kStep;
    short_time_ += short_call_ ? kStep : milliseconds(0);
    if (call && left <= milliseconds(0)) {
      scheduler_.OnOutput(call->request_id);
      scheduler_.Finish(call->request_id, call->prefill_tokens + 1);
      call.reset();
    }
    StartReadyCalls();
  }

  coordination::ManualClock clock_;
  Scheduler scheduler_{clock_, {}};
  std::uint64_t last_id_ = 0;
  std::optional<ScheduledCall> short_call_;
  std::optional<ScheduledCall> long_call_;
  milliseconds short_left_{0};
  milliseconds long_left_{0};
  milliseconds short_time_{0};
};

TEST_F(LongTurnsTest, AgedLongWorkGetsItsPartOfAServerBusyWithShortWork) {
  for (int i = 0; i < 400; ++i) {
    Push(false);
  }
  Push(true);
  StartReadyCalls();
  {
    SCOPED_TRACE("before the long call is aged, short work goes first");
    for (auto time = milliseconds(0); time < seconds(2); time += kStep) {
      Step();
      EXPECT_TRUE(short_call_.has_value());
    }
  }
  {
    SCOPED_TRACE("once aged, it is computed within its wait limit");
    short_time_ = milliseconds(0);
    milliseconds time{0};
    while (long_call_ && time < seconds(6)) {
      Step();
      time += kStep;
    }
    EXPECT_FALSE(long_call_.has_value());
    EXPECT_GE(short_time_, time * 7 / 10);
  }
}

TEST_F(LongTurnsTest, AgedLongWorkTakesTheNextFreeSlot) {
  constexpr int kSlots = 16;
  for (int i = 0; i < kSlots; ++i) {
    Push(false);
    auto next = scheduler_.Next();
    scheduler_.OnHandedOver(next->request_id);
    scheduler_.OnOutput(next->request_id);
  }
  Push(true);
  Push(false);
  clock_.Advance(seconds(3));
  EXPECT_FALSE(scheduler_.Next());
  clock_.Advance(seconds(1));
  scheduler_.Finish({1, 0}, 2401);
  EXPECT_EQ(scheduler_.Next()->kind, "contract");
}

}  // namespace
}  // namespace peridotgate::agent
