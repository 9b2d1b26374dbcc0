// What is told of a call that may not be repeated when its link was lost and
// its agent is asked to revoke it.
#include <gtest/gtest.h>

#include "../router_harness.h"

namespace peridotgate::entry {
namespace {

const Id128 kRequest{7, 7};

void Refuse(wire::Link& link, const wire::Dispatch& dispatch) {
  wire::Refusal refusal;
  refusal.request_id = dispatch.request_id;
  refusal.attempt = dispatch.attempt;
  refusal.outcome = wire::Outcome::kNotRun;
  refusal.reason = wire::Reason::kRevoked;
  link.Send(refusal);
}

// Loses the link at a dispatch that may not be repeated; answers the
// revocation as `answer` says.
wire::Outcome::type ToldAfter(const wire::CancelResult& answer) {
  RouterHarness it;
  auto take = [&](wire::Link& link, const wire::Message& message) {
    const auto* dispatch = std::get_if<wire::Dispatch>(&message);
    if (dispatch != nullptr && dispatch->repeatable) {
      Refuse(link, *dispatch);
    } else if (dispatch != nullptr) {
      link.Close();
    } else if (const auto* cancel = std::get_if<wire::Cancel>(&message)) {
      wire::CancelResult result = answer;
      result.request_id = cancel->request_id;
      result.attempt = cancel->attempt;
      link.Send(result);
    }
  };
  FakeAgent agent(it.duty.context(), it.metrics,
                  FreeEndpoint(it.duty.context()), take);
  it.List({agent.endpoint()});
  // A first call opens the link, on which the agent says who it is.
  it.Route({1, 1}, true);
  EXPECT_TRUE(it.RunUntil([&] { return it.Ended(); }));
  it.seen.clear();
  it.Route(kRequest, false);
  EXPECT_TRUE(it.RunUntil([&] { return it.Ended(); }));
  return std::get<CallRefused>(it.seen.back().payload).outcome;
}

wire::CancelResult Answer(wire::Outcome::type outcome, std::int64_t from) {
  wire::CancelResult result;
  result.outcome = outcome;
  result.incarnation = from;
  return result;
}

TEST(RevokedAttempt, NotRunIsToldOnlyWhenTheSameProcessConfirmsIt) {
  {
    SCOPED_TRACE("the process that it was sent to confirms it");
    EXPECT_EQ(ToldAfter(Answer(wire::Outcome::kNotRun, 1)),
              wire::Outcome::kNotRun);
  }
  {
    SCOPED_TRACE("another process confirms it: the first may have run it");
    EXPECT_EQ(ToldAfter(Answer(wire::Outcome::kNotRun, 2)),
              wire::Outcome::kUnknown);
  }
  {
    SCOPED_TRACE("it was handed over");
    EXPECT_EQ(ToldAfter(Answer(wire::Outcome::kUnknown, 1)),
              wire::Outcome::kUnknown);
  }
}

TEST(RevokedAttempt, ALinkThatStaysSilentIsGivenUp) {
  RouterHarness it;
  int dispatches = 0;
  FakeAgent agent(
      it.duty.context(), it.metrics, FreeEndpoint(it.duty.context()),
      [&](wire::Link& /*link*/, const wire::Message& message) {
        dispatches += std::holds_alternative<wire::Dispatch>(message) ? 1 : 0;
      });
  agent.set_silent();
  it.List({agent.endpoint()});
  it.Route(kRequest, false);
  ASSERT_TRUE(it.RunUntil([&] { return it.Ended(); }));
  EXPECT_EQ(dispatches, 1);
  EXPECT_EQ(std::get<CallRefused>(it.seen.back().payload).outcome,
            wire::Outcome::kUnknown);
}

}  // namespace
}  // namespace peridotgate::entry
