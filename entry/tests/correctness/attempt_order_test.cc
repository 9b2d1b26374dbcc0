// Late, duplicate and missing messages of an attempt.
#include <gtest/gtest.h>

#include "attempt.h"

namespace peridotgate::entry {
namespace {

constexpr std::int32_t kAttempt = 5;

wire::ReplyChunk Chunk(std::int32_t attempt,
                       std::int64_t sequence,
                       std::int64_t position) {
  wire::ReplyChunk chunk;
  chunk.attempt = attempt;
  chunk.sequence = sequence;
  chunk.position = position;
  return chunk;
}

TEST(AttemptOrder, AcceptsOnlyTheNextMessageOfItsAttempt) {
  AttemptOrder order(kAttempt, 10);
  EXPECT_EQ(order.Classify(Chunk(kAttempt, 0, 10)), MessageVerdict::kAccept);
  {
    SCOPED_TRACE("a message of another attempt, and a duplicate");
    EXPECT_EQ(order.Classify(Chunk(kAttempt - 1, 1, 11)),
              MessageVerdict::kDiscard);
    EXPECT_EQ(order.Classify(Chunk(kAttempt, 0, 10)), MessageVerdict::kDiscard);
  }
  {
    SCOPED_TRACE("a message that skips a sequence number or a position");
    EXPECT_EQ(order.Classify(Chunk(kAttempt, 2, 12)), MessageVerdict::kGap);
    EXPECT_EQ(order.Classify(Chunk(kAttempt, 1, 12)), MessageVerdict::kGap);
  }
}

TEST(AttemptOrder, RejectsEndWhileAnEarlierMessageIsMissing) {
  AttemptOrder order(kAttempt, 0);
  wire::ReplyEnd end;
  end.attempt = kAttempt;
  end.sequence = 1;
  end.position = 1;
  EXPECT_EQ(order.Classify(end), MessageVerdict::kGap);
  EXPECT_EQ(order.Classify(Chunk(kAttempt, 0, 0)), MessageVerdict::kAccept);
  EXPECT_EQ(order.Classify(end), MessageVerdict::kAccept);
}

}  // namespace
}  // namespace peridotgate::entry
