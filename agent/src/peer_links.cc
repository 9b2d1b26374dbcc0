#include "peer_links.h"

#include <algorithm>
#include <utility>

namespace peridotgate::agent {

PeerLinks::PeerLinks(runtime::Metrics& metrics,
                     OnMessage on_message,
                     OnClose on_close)
    : silent_(metrics.GetCounter("peridotgate_agent_silent_links_total")),
      on_message_(std::move(on_message)),
      on_close_(std::move(on_close)) {}

void PeerLinks::Add(const std::shared_ptr<wire::Link>& link) {
  links_[link->number()].link = link;
  link->Start(
      [this](wire::Link& from, wire::Message&& message) {
        auto it = links_.find(from.number());
        if (it != links_.end()) {
          it->second.watch.OnHeard();
        }
        on_message_(from.number(), std::move(message));
      },
      [this](wire::Link& closed) {
        on_close_(closed.number());
        links_.erase(closed.number());
      });
}

void PeerLinks::Send(LinkNumber link, const wire::Message& message) {
  auto it = links_.find(link);
  if (it != links_.end()) {
    it->second.link->Send(message);
  }
}

void PeerLinks::Tick(const std::unordered_set<LinkNumber>& attached) {
  for (auto& [number, entry] : links_) {
    OnTick(entry, attached.contains(number));
  }
}

void PeerLinks::OnTick(Entry& entry, bool attached) {
  if (entry.link->closed()) {
    return;
  }
  const auto use = attached ? wire::LinkUse::kWaiting : wire::LinkUse::kIdle;
  switch (entry.watch.OnTick(use)) {
    case wire::LinkStep::kNothing:
    case wire::LinkStep::kDrop:
      break;
    case wire::LinkStep::kAsk:
      entry.link->Send(wire::Hello());
      break;
    case wire::LinkStep::kClose:
      silent_.Add();
      entry.link->Close();
      break;
  }
}

bool PeerLinks::drained() const {
  return std::all_of(links_.begin(), links_.end(),
                     [](const auto& it) { return it.second.link->drained(); });
}

}  // namespace peridotgate::agent
