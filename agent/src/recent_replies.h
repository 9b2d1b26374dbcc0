// Cache of responses to recent non-repeatable calls, by idempotency key.
#ifndef AGENT_RECENT_REPLIES_H_
#define AGENT_RECENT_REPLIES_H_

#include <cstddef>
#include <deque>
#include <map>

#include "agent/messages.h"

namespace peridotgate::agent {

/**
 * Answers a retry at the same agent without reading the table. Evicts the
 * oldest records when the byte limit is exceeded, and doesn't store a record
 * that would take a large part of it. The platform has all of them.
 */
class RecentReplies {
 public:
  explicit RecentReplies(std::size_t max_bytes) : max_bytes_(max_bytes) {}

  void Add(const ClaimKey& key, wire::ClaimRecord record);

  /** Returns the record of `key`, or null. */
  const wire::ClaimRecord* Find(const ClaimKey& key) const;

  std::size_t bytes() const { return bytes_; }

 private:
  std::size_t max_bytes_;
  std::size_t bytes_ = 0;
  std::map<ClaimKey, wire::ClaimRecord> records_;
  std::deque<ClaimKey> by_age_;
};

}  // namespace peridotgate::agent

#endif  // AGENT_RECENT_REPLIES_H_
