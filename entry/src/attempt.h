// Order checks for the messages of one attempt at a call.
#ifndef ENTRY_ATTEMPT_H_
#define ENTRY_ATTEMPT_H_

#include <cstdint>
#include <optional>

#include "wire/codec.h"

namespace peridotgate::entry {

/** What to do with a message that arrived for an attempt. */
enum class MessageVerdict {
  kAccept,   // The next message in order.
  kDiscard,  // Duplicate, or of another attempt: drop and count it.
  kGap,      // An earlier message is missing: the attempt has failed.
};

/**
 * Checks attempt and sequence numbers, so that no message is relayed twice, out
 * of order or from another attempt, and no end is accepted while an earlier
 * message is missing.
 */
class AttemptOrder {
 public:
  AttemptOrder(std::int32_t attempt, std::int64_t position)
      : attempt_(attempt), position_(position) {}

  MessageVerdict Classify(const wire::ReplyHead& head);
  MessageVerdict Classify(const wire::ReplyChunk& chunk);
  MessageVerdict Classify(const wire::ReplyEnd& end);
  /** A refusal is discarded once the answer has begun. */
  MessageVerdict Classify(const wire::Refusal& refusal) const;

  /** Number of accepted stream events, including those of earlier attempts. */
  std::int64_t position() const { return position_; }

 private:
  MessageVerdict ClassifySequence(std::int32_t attempt, std::int64_t sequence);

  std::int32_t attempt_;
  std::int64_t position_;
  std::int64_t next_sequence_ = 0;
};

}  // namespace peridotgate::entry

#endif  // ENTRY_ATTEMPT_H_
