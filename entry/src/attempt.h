// One attempt at a call: follows its messages and guards their order.
#ifndef ENTRY_ATTEMPT_H_
#define ENTRY_ATTEMPT_H_

#include <cstdint>
#include <optional>

#include "wire/codec.h"

namespace peridotgate::entry {

/** What a message means for the attempt it was sent for. */
enum class MessageVerdict {
  kAccept,   // The next one in order.
  kDiscard,  // Of another attempt, or crossed: dropped and counted.
  kGap,      // One before it is missing: the attempt can't go on.
};

/**
 * Checks attempt and sequence numbers, so that nothing is passed on twice, out
 * of order, or from another attempt, and no end is believed with a hole before
 * it.
 */
class AttemptOrder {
 public:
  AttemptOrder(std::int32_t attempt, std::int64_t position)
      : attempt_(attempt), position_(position) {}

  MessageVerdict Classify(const wire::ReplyHead& head);
  MessageVerdict Classify(const wire::ReplyChunk& chunk);
  MessageVerdict Classify(const wire::ReplyEnd& end);
  /** What has begun is not refused any more. */
  MessageVerdict Classify(const wire::Refusal& refusal) const;

  /** Stream events taken so far, those of earlier attempts included. */
  std::int64_t position() const { return position_; }

 private:
  MessageVerdict ClassifySequence(std::int32_t attempt, std::int64_t sequence);

  std::int32_t attempt_;
  std::int64_t position_;
  std::int64_t next_sequence_ = 0;
};

}  // namespace peridotgate::entry

#endif  // ENTRY_ATTEMPT_H_
