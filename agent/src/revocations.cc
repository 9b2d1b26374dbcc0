#include "revocations.h"

namespace peridotgate::agent {

bool Revocations::Add(const AttemptId& id, coordination::TimePoint now) {
  while (!by_age_.empty() && now - by_age_.front().added > retention_) {
    ids_.erase(by_age_.front().id);
    by_age_.pop_front();
  }
  if (ids_.contains(id)) {
    return true;
  }
  if (ids_.size() >= capacity_) {
    return false;
  }
  ids_.insert(id);
  by_age_.push_back({id, now});
  return true;
}

}  // namespace peridotgate::agent
