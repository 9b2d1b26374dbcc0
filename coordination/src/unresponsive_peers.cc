#include "unresponsive_peers.h"

namespace peridotgate::coordination {

bool UnresponsivePeers::OnRequestSent(const std::string& instance,
                                      TimePoint now) {
  if (++unanswered_[instance] <= max_unanswered_) {
    return false;
  }
  unanswered_.erase(instance);
  avoided_[instance] = now + avoidance_period_;
  return true;
}

bool UnresponsivePeers::OnResponse(const std::string& instance) {
  unanswered_.erase(instance);
  return avoided_.erase(instance) > 0;
}

bool UnresponsivePeers::Expire(TimePoint now) {
  return std::erase_if(avoided_,
                       [now](const auto& it) { return it.second <= now; }) > 0;
}

}  // namespace peridotgate::coordination
