// Responses too large for a table row, while the object store fails: the call
// must never run again, and no wrong response may be replayed.
#include <map>
#include <optional>
#include <string>
#include <vector>

#include <gtest/gtest.h>

#include "../../../control/tests/fake_table.h"
#include "agent/claims.h"
#include "claim_attempt.h"

namespace peridotgate::agent {
namespace {

namespace asio = boost::asio;
using platform::PlatformError;

constexpr std::size_t kRowBytes = 100;

// An object store in memory with injected failures.
class FakeStore : public platform::ObjectStore {
 public:
  template <class T>
  using Answer = asio::awaitable<platform::Result<T, PlatformError>>;

  Answer<std::optional<std::string>> Get(std::string name) override {
    if (down) {
      co_return PlatformError::kUnavailable;
    }
    auto it = objects.find(name);
    co_return it == objects.end() ? std::nullopt : std::optional(it->second);
  }

  Answer<void> Create(std::string name, std::string body) override {
    ++creates;
    if (before_create) {
      before_create();
    }
    const bool created = objects.emplace(name, std::move(body)).second;
    if (lost_answers > 0) {
      --lost_answers;
      co_return PlatformError::kUnknown;
    }
    if (!created) {
      co_return PlatformError::kConflict;
    }
    co_return coordination::outcome::success();
  }

  std::map<std::string, std::string> objects;
  std::function<void()> before_create;
  int lost_answers = 0;
  int creates = 0;
  bool down = false;
};

class LargeResponse : public testing::Test {
 protected:
  // Runs the event loop until `done`.
  template <class Done>
  void RunUntil(Done done) {
    constexpr int kTurns = 2000;
    for (int i = 0; i < kTurns && !done(); ++i) {
      duty_.context().run_for(std::chrono::milliseconds(5));
      duty_.context().restart();
    }
    ASSERT_TRUE(done());
  }

  ClaimAnswer Claim(Claims& claims, std::uint64_t token) {
    ClaimRequest request;
    request.id = {{token, token}, 1};
    request.key = key_;
    request.body_digest = "digest";
    request.attempt_token = {token, token};
    answers_seen_.clear();
    claims.OnCommand(request);
    RunUntil([&] { return !answers_seen_.empty(); });
    return answers_seen_.front();
  }

  // Stores the result of attempt 1, a large response.
  void Settle(Claims& claims) {
    ClaimResult result;
    result.key = key_;
    result.record.attempt_token = wire::ToWire({1, 1});
    result.record.body_digest = "digest";
    result.record.state = wire::ClaimState::kDone;
    result.record.status = 201;
    result.record.content_type = "text/plain";
    result.record.body = std::string(kRowBytes + 1, 'a');
    claims.OnCommand(result);
    RunUntil([&] { return claims.pending() == 0; });
  }

  wire::ClaimRecord StoredRecord() {
    return wire::DecodeStruct<wire::ClaimRecord>(
               table_.rows[ClaimRowKey(key_)].body)
        .value();
  }

  ClaimKey key_{"brazos", "order-placement", "key-1"};
  runtime::Duty duty_{"platform"};
  runtime::Metrics metrics_;
  control::FakeTable table_;
  FakeStore store_;
  std::vector<ClaimAnswer> answers_seen_;
  runtime::Port<ClaimAnswer> answers_{
      duty_, 16, [this](ClaimAnswer&& it) { answers_seen_.push_back(it); }};
  Claims runner_{duty_,  table_, answers_, metrics_, {"agent-0", 50, kRowBytes},
                 &store_};
  Claims other_{duty_,  table_, answers_, metrics_, {"agent-1", 50, kRowBytes},
                &store_};
};

TEST_F(LargeResponse, IsStoredAsAnObjectBeforeItsRowIsDone) {
  ASSERT_EQ(Claim(runner_, 1).outcome, ClaimOutcome::kClaimed);
  store_.before_create = [this] {
    EXPECT_EQ(StoredRecord().state, wire::ClaimState::kClaimed);
  };
  Settle(runner_);
  EXPECT_EQ(StoredRecord().state, wire::ClaimState::kDone);
  EXPECT_TRUE(StoredRecord().body.empty());
  EXPECT_EQ(store_.objects.size(), 1U);
  {
    SCOPED_TRACE("another agent replays it");
    const ClaimAnswer again = Claim(other_, 2);
    EXPECT_EQ(again.outcome, ClaimOutcome::kReplay);
    EXPECT_EQ(again.record.status, 201);
    EXPECT_EQ(again.record.content_type, "text/plain");
    EXPECT_EQ(again.record.body.size(), kRowBytes + 1);
  }
  {
    SCOPED_TRACE("if unreadable or lost, it ran but has no response");
    store_.down = true;
    EXPECT_EQ(Claim(other_, 3).record.status, 0);
    store_.down = false;
    store_.objects.clear();
    const ClaimAnswer gone = Claim(other_, 4);
    EXPECT_EQ(gone.outcome, ClaimOutcome::kReplay);
    EXPECT_EQ(gone.record.status, 0);
  }
  {
    SCOPED_TRACE("an object of another attempt isn't used");
    wire::ClaimRecord foreign = StoredRecord();
    foreign.attempt_token = wire::ToWire({9, 9});
    foreign.status = 200;
    store_
        .objects["answers/" + coordination::ToHex(coordination::Id128{1, 1})] =
        wire::EncodeStruct(foreign);
    EXPECT_EQ(Claim(other_, 5).record.status, 0);
  }
}

TEST_F(LargeResponse, IsStoredAlthoughWritesGetNoReply) {
  ASSERT_EQ(Claim(runner_, 1).outcome, ClaimOutcome::kClaimed);
  store_.lost_answers = 2;
  Settle(runner_);
  EXPECT_EQ(store_.creates, 3);
  EXPECT_EQ(Claim(other_, 2).record.status, 201);
}

TEST_F(LargeResponse, IsReportedAsRunWithoutAnObjectStore) {
  Claims claims(duty_, table_, answers_, metrics_, {"agent-2", 50, kRowBytes});
  ASSERT_EQ(Claim(claims, 1).outcome, ClaimOutcome::kClaimed);
  Settle(claims);
  EXPECT_EQ(StoredRecord().state, wire::ClaimState::kDone);
  EXPECT_EQ(Claim(other_, 2).record.status, 0);
}

}  // namespace
}  // namespace peridotgate::agent
