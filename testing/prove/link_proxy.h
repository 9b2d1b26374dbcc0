// Forwards connections and datagrams to an address; on request cuts, half-opens
// or disturbs the connections.
#ifndef TESTING_PROVE_LINK_PROXY_H_
#define TESTING_PROVE_LINK_PROXY_H_

#include <cstddef>
#include <cstdint>
#include <memory>

#include <boost/asio/io_context.hpp>

#include "prove/datagram_proxy.h"
#include "prove/frame_faults.h"
#include "runtime/settings_reader.h"

namespace peridotgate::prove {

/** The directions in which a connection drops data without being closed. */
enum class SilentWay { kToAgent, kToEntry, kBoth };

/** A proxy between a process and its peers. */
class LinkProxy {
 public:
  LinkProxy(boost::asio::io_context& context,
            const runtime::Endpoint& listen,
            const runtime::Endpoint& target,
            std::uint64_t seed,
            LinkUnit unit = LinkUnit::kFrames);
  ~LinkProxy();

  /** Closes every connection; returns how many there were. */
  std::size_t Cut();

  /**
   * Drops all data, and the close, in direction `way` of the connections that
   * are open now. Returns how many connections were not half-open before.
   */
  std::size_t HalfOpen(SilentWay way);

  /** Disturbs frames from now on; kNone restores normal forwarding. */
  void SetFrameFault(FrameFault fault);

  /** The proxy for the datagrams. */
  DatagramProxy& datagrams();

  /** The number of frames disturbed so far. */
  std::size_t disturbed() const;

 private:
  struct Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace peridotgate::prove

#endif  // TESTING_PROVE_LINK_PROXY_H_
