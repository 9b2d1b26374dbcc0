// Claims and results must be retained for the documented time. With a shorter
// one, a retry within that time would run again.
#include <gtest/gtest.h>

#include "claim_attempt.h"

namespace peridotgate::agent {
namespace {

constexpr std::chrono::hours kDocumentedRetention{24 * 7};

ClaimRequest MakeRequest() {
  ClaimRequest request;
  request.id = {{1, 1}, 1};
  request.key = {"brazos", "order-placement", "key-1"};
  request.body_digest = "digest";
  request.attempt_token = {2, 1};
  return request;
}

TEST(ClaimRetention, ClaimAndResultHaveTheDocumentedRetention) {
  ClaimAttempt attempt(MakeRequest(), "agent-0");
  EXPECT_EQ(attempt.MakeWrite().keep, kDocumentedRetention);

  ClaimResult result;
  result.key = MakeRequest().key;
  result.record.state = wire::ClaimState::kDone;
  ClaimSettlement settlement(result);
  EXPECT_EQ(settlement.MakeWrite().keep, kDocumentedRetention);
}

}  // namespace
}  // namespace peridotgate::agent
