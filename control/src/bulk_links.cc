#include "bulk_links.h"

namespace peridotgate::control {
namespace {

constexpr std::size_t kMaxLinks = 16;
constexpr std::chrono::seconds kIdleTimeout{5};

}  // namespace

bool BulkLinks::Send(const coordination::PeerAddress& to,
                     const wire::Message& message) {
  auto it = links_.find(to);
  if (it != links_.end() && it->second.link->closed()) {
    links_.erase(it);
    it = links_.end();
  }
  if (it == links_.end()) {
    if (links_.size() >= kMaxLinks) {
      return false;
    }
    auto link =
        wire::Link::Connecting(context_, {to.address, to.port}, metrics_);
    link->Start([](wire::Link&, wire::Message&&) {}, [](wire::Link&) {});
    it = links_.emplace(to, OpenLink{std::move(link), clock_.Now()}).first;
  }
  it->second.last_used = clock_.Now();
  return it->second.link->Send(message);
}

void BulkLinks::Tick() {
  for (auto it = links_.begin(); it != links_.end();) {
    if (clock_.Now() - it->second.last_used > kIdleTimeout ||
        it->second.link->closed()) {
      it->second.link->Close();
      it = links_.erase(it);
    } else {
      ++it;
    }
  }
}

}  // namespace peridotgate::control
