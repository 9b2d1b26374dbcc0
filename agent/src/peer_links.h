// Links that entries have opened to this agent.
#ifndef AGENT_PEER_LINKS_H_
#define AGENT_PEER_LINKS_H_

#include <functional>
#include <memory>
#include <unordered_map>
#include <unordered_set>

#include "agent/core.h"
#include "runtime/metrics.h"
#include "wire/link.h"
#include "wire/link_watch.h"

namespace peridotgate::agent {

/**
 * Links by number. A silent link with attached streams is probed, and closed if
 * it doesn't respond, so that the streams of an entry that died without closing
 * its link can be stopped or resumed through another entry.
 */
class PeerLinks {
 public:
  /** In ticks of half a second: probed after 4 s, closed after 8 s. */
  static constexpr wire::LinkPatience kPatience{8, 16, 0};

  using OnMessage = std::function<void(LinkNumber, wire::Message&&)>;
  using OnClose = std::function<void(LinkNumber)>;

  PeerLinks(runtime::Metrics& metrics, OnMessage on_message, OnClose on_close);

  /** Starts an accepted link. */
  void Add(const std::shared_ptr<wire::Link>& link);

  /** Sends a message if the link is still open. */
  void Send(LinkNumber link, const wire::Message& message);

  /** Call twice a second with the links that have attached streams. */
  void Tick(const std::unordered_set<LinkNumber>& attached);

  /** Whether the send buffers of all links are empty. */
  bool drained() const;

 private:
  struct Entry {
    std::shared_ptr<wire::Link> link;
    wire::LinkWatch watch{kPatience};
  };

  void OnTick(Entry& entry, bool attached);

  runtime::Counter& silent_;
  OnMessage on_message_;
  OnClose on_close_;
  std::unordered_map<LinkNumber, Entry> links_;
};

}  // namespace peridotgate::agent

#endif  // AGENT_PEER_LINKS_H_
