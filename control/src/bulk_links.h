// Connections for messages that do not fit a datagram.
#ifndef CONTROL_BULK_LINKS_H_
#define CONTROL_BULK_LINKS_H_

#include <memory>
#include <unordered_map>

#include "coordination/clock.h"
#include "coordination/peers.h"
#include "wire/link.h"

namespace peridotgate::control {

namespace asio = boost::asio;

/** A bounded set of links, opened on demand and closed when idle. */
class BulkLinks {
 public:
  BulkLinks(asio::io_context& context,
            const coordination::Clock& clock,
            runtime::Metrics& metrics)
      : context_(context), clock_(clock), metrics_(metrics) {}

  /** Sends `message` over a link. Returns false if too many links are open. */
  bool Send(const coordination::PeerAddress& to, const wire::Message& message);

  /** Closes idle links. Call periodically. */
  void Tick();

 private:
  struct OpenLink {
    std::shared_ptr<wire::Link> link;
    coordination::TimePoint last_used;
  };

  asio::io_context& context_;
  const coordination::Clock& clock_;
  runtime::Metrics& metrics_;
  std::unordered_map<coordination::PeerAddress, OpenLink> links_;
};

}  // namespace peridotgate::control

#endif  // CONTROL_BULK_LINKS_H_
