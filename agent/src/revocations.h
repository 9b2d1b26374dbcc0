// Attempts that were revoked, to refuse their late or duplicate dispatches.
#ifndef AGENT_REVOCATIONS_H_
#define AGENT_REVOCATIONS_H_

#include <cstddef>
#include <deque>
#include <unordered_set>

#include "agent/messages.h"
#include "coordination/clock.h"

namespace peridotgate::agent {

/**
 * A revocation is confirmed only if there is room to record it, and is retained
 * for `retention`. So the set is bounded, and no confirmed revocation is
 * dropped early.
 */
class Revocations {
 public:
  Revocations(std::size_t capacity, coordination::Duration retention)
      : capacity_(capacity), retention_(retention) {}

  /** Records `id`. Returns false if there is no room. */
  bool Add(const AttemptId& id, coordination::TimePoint now);
  bool Contains(const AttemptId& id) const { return ids_.contains(id); }
  std::size_t size() const { return ids_.size(); }

 private:
  struct Entry {
    AttemptId id;
    coordination::TimePoint added;
  };

  std::size_t capacity_;
  coordination::Duration retention_;
  std::unordered_set<AttemptId> ids_;
  std::deque<Entry> by_age_;
};

}  // namespace peridotgate::agent

#endif  // AGENT_REVOCATIONS_H_
