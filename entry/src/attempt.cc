#include "attempt.h"

namespace peridotgate::entry {

MessageVerdict AttemptOrder::ClassifySequence(std::int32_t attempt,
                                              std::int64_t sequence) {
  if (attempt != attempt_ || sequence < next_sequence_) {
    return MessageVerdict::kDiscard;
  }
  if (sequence > next_sequence_) {
    return MessageVerdict::kGap;
  }
  ++next_sequence_;
  return MessageVerdict::kAccept;
}

MessageVerdict AttemptOrder::Classify(const wire::ReplyHead& head) {
  const MessageVerdict verdict = ClassifySequence(head.attempt, head.sequence);
  if (verdict == MessageVerdict::kAccept && head.position != position_) {
    return MessageVerdict::kGap;
  }
  return verdict;
}

MessageVerdict AttemptOrder::Classify(const wire::ReplyChunk& chunk) {
  const MessageVerdict verdict =
      ClassifySequence(chunk.attempt, chunk.sequence);
  if (verdict != MessageVerdict::kAccept) {
    return verdict;
  }
  if (chunk.position != position_) {
    return MessageVerdict::kGap;
  }
  ++position_;
  return verdict;
}

MessageVerdict AttemptOrder::Classify(const wire::ReplyEnd& end) {
  const MessageVerdict verdict = ClassifySequence(end.attempt, end.sequence);
  if (verdict == MessageVerdict::kAccept && end.position != position_) {
    return MessageVerdict::kGap;
  }
  return verdict;
}

MessageVerdict AttemptOrder::Classify(const wire::Refusal& refusal) const {
  const bool has_begun = next_sequence_ > 0;
  return refusal.attempt == attempt_ && !has_begun ? MessageVerdict::kAccept
                                                   : MessageVerdict::kDiscard;
}

}  // namespace peridotgate::entry
