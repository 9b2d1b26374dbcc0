#include "entry/burn.h"

#include <gtest/gtest.h>
#include <boost/json.hpp>

namespace peridotgate::entry {
namespace {

namespace json = boost::json;
using std::chrono::milliseconds;
using std::chrono::minutes;

class BurnLogTest : public testing::Test {
 protected:
  BurnLogTest() {
    wire::KindRules kind;
    kind.name = "quote";
    kind.objective_ratio = 0.95;
    kind.first_token_objective_ms = 100;
    kind.token_gap_objective_ms = 50;
    organisation_.name = "brazos";
    organisation_.kinds.push_back(kind);
  }

  RouteCall NewCall() {
    RouteCall call;
    call.request_id = {0, ++calls_};
    call.dispatch.kind = "quote";
    return call;
  }

  // Makes one call with a stream of two events.
  void Stream(milliseconds first, milliseconds gap) {
    const RouteCall call = NewCall();
    const BurnScope scope(log_, call, organisation_);
    log_.OnEvent({call.request_id, CallHead{200, "", agent_, false}});
    clock_.Advance(first);
    log_.OnEvent({call.request_id, CallData{0, "a"}});
    clock_.Advance(gap);
    log_.OnEvent({call.request_id, CallData{1, "b"}});
    CallEnd end;
    end.usage = {30, 10, 2};
    log_.OnEvent({call.request_id, end});
  }

  // The report's entry for the only kind, over `window`.
  json::value ReportedKind(std::string_view window = "1h") const {
    const BurnWindow& over = *FindBurnWindow(window);
    const json::value all = json::parse(log_.ToJson("e0", 3, over));
    return all.at("kinds").at(0);
  }

  std::int64_t Count(const json::value& from, std::string_view name) const {
    const json::value* it = from.as_object().if_contains(name);
    return it == nullptr ? 0 : it->to_number<std::int64_t>();
  }

  coordination::ManualClock clock_;
  runtime::Metrics metrics_;
  BurnLog log_{clock_, metrics_};
  wire::OrganisationRules organisation_;
  std::uint64_t calls_ = 0;
  runtime::Endpoint agent_{"10.0.0.1", 7};
};

TEST_F(BurnLogTest, CountsCallsThatMissTheirObjective) {
  Stream(milliseconds(50), milliseconds(20));
  Stream(milliseconds(150), milliseconds(20));
  Stream(milliseconds(50), milliseconds(70));
  const json::value counts = ReportedKind().at("counts");
  EXPECT_EQ(Count(counts, "calls"), 3);
  EXPECT_EQ(Count(counts, "bad"), 2);
  EXPECT_EQ(Count(counts, "late_first"), 1);
  EXPECT_EQ(Count(counts, "late_gap"), 1);
  EXPECT_EQ(Count(counts, "cached_tokens"), 90);
  EXPECT_EQ(Count(counts, "cost"), 36);
  EXPECT_NE(metrics_.Print().find(
                "peridotgate_entry_objective_calls_total{organisation=\"brazos"
                "\",kind=\"quote\",result=\"bad\"} 2"),
            std::string::npos)
      << metrics_.Print();
}

TEST_F(BurnLogTest, SeparatesRefusedFailedAndDisconnectedCalls) {
  {
    SCOPED_TRACE("refused as not run");
    const RouteCall call = NewCall();
    const BurnScope scope(log_, call, organisation_);
    CallRefused refused{wire::Outcome::kNotRun, wire::Reason::kQueueFull, "",
                        0};
    log_.OnEvent({call.request_id, refused});
  }
  {
    SCOPED_TRACE("no event at all");
    const RouteCall call = NewCall();
    const BurnScope scope(log_, call, organisation_);
  }
  {
    SCOPED_TRACE("the caller disconnected in the middle of its answer");
    const RouteCall call = NewCall();
    const BurnScope scope(log_, call, organisation_);
    log_.OnEvent({call.request_id, CallHead{200, "", {"10.0.0.1", 7}, false}});
  }
  {
    SCOPED_TRACE("a fault of the caller is not charged to the error budget");
    const RouteCall call = NewCall();
    const BurnScope scope(log_, call, organisation_);
    CallRefused refused{wire::Outcome::kNotRun, wire::Reason::kKeyReused, "",
                        0};
    log_.OnEvent({call.request_id, refused});
  }
  const json::value counts = ReportedKind().at("counts");
  EXPECT_EQ(Count(counts, "calls"), 3);
  EXPECT_EQ(Count(counts, "bad"), 2);
  EXPECT_EQ(Count(counts, "refused"), 1);
  EXPECT_EQ(Count(counts, "failed"), 1);
  EXPECT_EQ(Count(counts.at("reasons"), "queue_full"), 1);
}

TEST_F(BurnLogTest, CountsLostAttemptsPerServer) {
  log_.OnAttemptLost({"10.0.0.1", 7});
  Stream(milliseconds(1), milliseconds(1));
  const json::value all = json::parse(log_.ToJson("e0", 3));
  ASSERT_EQ(all.at("servers").as_array().size(), 1U);
  const json::value& server = all.at("servers").at(0);
  EXPECT_EQ(server.at("agent").as_string(), "10.0.0.1:7");
  EXPECT_EQ(Count(server.at("counts"), "lost"), 1);
  EXPECT_EQ(Count(server.at("counts"), "calls"), 1);
}

TEST_F(BurnLogTest, SumsEachWindowAndDropsOldCounts) {
  Stream(milliseconds(1), milliseconds(1));
  clock_.Advance(minutes(10));
  Stream(milliseconds(150), milliseconds(1));
  {
    SCOPED_TRACE("each window counts the calls within it; 2 calls, 1 bad");
    EXPECT_EQ(ReportedKind().at("windows"),
              json::parse("[[1,1],[2,1],[2,1],[2,1]]"));
    EXPECT_EQ(Count(ReportedKind("5m").at("counts"), "calls"), 1);
    EXPECT_EQ(Count(ReportedKind("30m").at("counts"), "calls"), 2);
  }
  {
    SCOPED_TRACE("periods without calls have no bar");
    EXPECT_EQ(ReportedKind().at("bars"), json::parse("[[600,1,0],[0,1,1]]"));
  }
  clock_.Advance(minutes(70));
  {
    SCOPED_TRACE(
        "both calls are older than the short windows, but not the long one");
    EXPECT_EQ(ReportedKind().at("windows"),
              json::parse("[[0,0],[0,0],[0,0],[2,1]]"));
    EXPECT_TRUE(ReportedKind().at("counts").as_object().empty());
    EXPECT_EQ(Count(ReportedKind("6h").at("counts"), "calls"), 2);
  }
  clock_.Advance(minutes(360));
  EXPECT_EQ(log_.ToJson("e0", 3).find("brazos"), std::string::npos);
}

TEST_F(BurnLogTest, AggregatesSeriesBeyondItsLimits) {
  constexpr std::size_t kExcess = 7;
  const auto calls_in_other_series = [this](std::string_view list,
                                            std::string_view name) {
    const json::value all = json::parse(log_.ToJson("e0", 3));
    std::int64_t calls = 0;
    for (const json::value& it : all.at(list).as_array()) {
      calls += it.at(name).as_string() == kOtherSeries
                   ? Count(it.at("counts"), "calls")
                   : 0;
    }
    EXPECT_LE(all.at(list).as_array().size(), kMostBurnKinds + 1);
    return calls;
  };
  {
    SCOPED_TRACE("new kinds when the table is full");
    for (std::size_t i = 0; i < kMostBurnKinds + kExcess; ++i) {
      organisation_.name = "shop-" + std::to_string(i);
      Stream(milliseconds(0), milliseconds(0));
    }
    EXPECT_EQ(calls_in_other_series("kinds", "kind"), kExcess);
  }
  {
    SCOPED_TRACE(
        "the series of an open call is kept when idle ones are evicted");
    const RouteCall call = NewCall();
    const BurnScope scope(log_, call, organisation_);
    clock_.Advance(minutes(400));
    Stream(milliseconds(0), milliseconds(0));
    log_.OnEvent({call.request_id, CallEnd{}});
    EXPECT_EQ(calls_in_other_series("kinds", "kind"), 1);
  }
  {
    SCOPED_TRACE("a server with errors evicts one without");
    for (std::uint16_t i = 0; i < kMostBurnServers + kExcess; ++i) {
      agent_.port = static_cast<std::uint16_t>(1000 + i);
      Stream(milliseconds(0), milliseconds(0));
    }
    EXPECT_EQ(calls_in_other_series("servers", "agent"), kExcess + 1);
    log_.OnAttemptLost(agent_);
    const std::string all = log_.ToJson("e0", 3);
    EXPECT_NE(all.find(runtime::ToString(agent_)), std::string::npos);
    EXPECT_EQ(calls_in_other_series("servers", "agent"), kExcess + 2);
  }
}

}  // namespace
}  // namespace peridotgate::entry
