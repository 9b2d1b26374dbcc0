#include "agent/scheduler.h"

#include <map>
#include <string>
#include <vector>

#include <gtest/gtest.h>

namespace peridotgate::agent {
namespace {

using coordination::Id128;
using std::chrono::milliseconds;
using std::chrono::seconds;

class SchedulerTest : public testing::Test {
 protected:
  ScheduledCall Call(const std::string& organisation,
                     double tokens,
                     const std::string& kind = "quote") {
    ScheduledCall call;
    call.request_id = {++last_id_, 0};
    call.organisation = organisation;
    call.kind = kind;
    call.prefill_tokens = tokens;
    call.cost = tokens + 10;
    call.wait_limit = seconds(2);
    call.arrived = clock_.Now();
    return call;
  }

  // Runs the next call with `gap` between tokens. Returns "organisation/kind".
  std::string ServeOne(milliseconds gap = milliseconds(5)) {
    auto next = scheduler_.Next();
    if (!next) {
      return "";
    }
    scheduler_.OnHandedOver(next->request_id);
    for (int i = 0; i < 10; ++i) {
      clock_.Advance(gap);
      scheduler_.OnOutput(next->request_id);
    }
    scheduler_.Finish(next->request_id, next->prefill_tokens + 10);
    return next->organisation + "/" + next->kind;
  }

  wire::ProbeReply Probe(const std::string& organisation) const {
    wire::ProbeRequest request;
    wire::ProbeReply reply;
    request.organisation = organisation;
    request.prefix_keys = {1, 2, 3};
    scheduler_.Describe(request, reply);
    return reply;
  }

  coordination::ManualClock clock_;
  Scheduler scheduler_{clock_, {}};
  std::uint64_t last_id_ = 0;
};

TEST_F(SchedulerTest, ServesOrganisationsThenKindsFairly) {
  for (int i = 0; i < 100; ++i) {
    scheduler_.Push(Call("large", 1000, "sorting"));
    scheduler_.Push(Call("large", 1000, "quote"));
    if (i < 40) {
      scheduler_.Push(Call("small", 1000));
    }
  }
  std::map<std::string, int> served;
  for (int i = 0; i < 60; ++i) {
    ++served[ServeOne()];
  }
  EXPECT_NEAR(served["small/quote"], 30, 3);
  EXPECT_NEAR(served["large/sorting"], 15, 3);
  EXPECT_NEAR(served["large/quote"], 15, 3);
}

TEST_F(SchedulerTest, LongWorkHasBoundedSlotsAndIsNotStarved) {
  for (int i = 0; i < 10; ++i) {
    ScheduledCall call = Call("rentals", 40000, "contract");
    call.long_work = true;
    scheduler_.Push(std::move(call));
  }
  int started = 0;
  while (scheduler_.Next()) {
    ++started;
  }
  EXPECT_GE(started, 1);
  EXPECT_LE(started, 4);
  {
    SCOPED_TRACE("short work can start beside it");
    scheduler_.Push(Call("tailors", 400));
    EXPECT_EQ(scheduler_.Next()->organisation, "tailors");
  }
  EXPECT_EQ(Probe("tailors").long_in_flight, started);
}

TEST_F(SchedulerTest, RefusesCallsThatWouldExceedTheirWaitLimit) {
  for (int i = 0; i < 100; ++i) {
    scheduler_.Push(Call("tailors", 3000));
  }
  while (scheduler_.Next()) {
  }
  const ScheduledCall late = Call("tailors", 3000);
  EXPECT_EQ(scheduler_.Admit(late), wire::Reason::kWaitLimit);
  EXPECT_GT(scheduler_.RetryAfter(late), milliseconds(0));
  {
    SCOPED_TRACE("another organisation doesn't wait behind this backlog");
    EXPECT_EQ(scheduler_.Admit(Call("rentals", 3000)), wire::Reason::kNone);
    EXPECT_LT(Probe("rentals").wait_us, Probe("tailors").wait_us);
  }
}

TEST_F(SchedulerTest, ProbeCountsPiecesThatWaitingCallsWillCompute) {
  ScheduledCall call = Call("tailors", 4000);
  call.prefix_keys = {1, 2};
  const Id128 id = call.request_id;
  scheduler_.Push(call);
  EXPECT_EQ(Probe("tailors").held_pieces, 2);
  EXPECT_TRUE(scheduler_.Remove(id));
  EXPECT_FALSE(scheduler_.Remove(id));
  EXPECT_EQ(Probe("tailors").held_pieces, 0);
}

TEST_F(SchedulerTest, SlownessRisesAtOnceAndDecays) {
  for (int i = 0; i < 20; ++i) {
    scheduler_.Push(Call("tailors", 400));
    ServeOne();
  }
  EXPECT_LT(scheduler_.Slowness(), 1.1);
  scheduler_.Push(Call("tailors", 400));
  ServeOne(milliseconds(25));
  EXPECT_GT(scheduler_.Slowness(), 2);
  clock_.Advance(seconds(20));
  EXPECT_LT(scheduler_.Slowness(), 1.1);
}

TEST_F(SchedulerTest, RemoteServiceCountsAgainstTheShare) {
  scheduler_.Push(Call("greedy", 1000));
  scheduler_.Push(Call("light", 1000));
  ServeOne();
  ServeOne();
  wire::ServiceUse use;
  use.organisation = "greedy";
  use.cost_tokens = 100000;
  wire::ShareReport report;
  report.uses = {use};
  scheduler_.OnShareReport(report);
  for (int i = 0; i < 40; ++i) {
    scheduler_.Push(Call("greedy", 1000));
    scheduler_.Push(Call("light", 1000));
  }
  int light = 0;
  for (int i = 0; i < 20; ++i) {
    light += ServeOne() == "light/quote" ? 1 : 0;
  }
  EXPECT_GT(light, 14);
  EXPECT_EQ(scheduler_.TakeShareReport().uses.size(), 2U);
}

}  // namespace
}  // namespace peridotgate::agent
