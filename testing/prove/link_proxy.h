// Passes connections and datagrams on to an address; cuts, half-opens and
// disturbs the connections when told.
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

/** The ways of a connection that go silent without its being closed. */
enum class SilentWay { kToAgent, kToEntry, kBoth };

/** Stands between a process and those that send to it. */
class LinkProxy {
 public:
  LinkProxy(boost::asio::io_context& context,
            const runtime::Endpoint& listen,
            const runtime::Endpoint& target,
            std::uint64_t seed,
            LinkUnit unit = LinkUnit::kFrames);
  ~LinkProxy();

  /** Closes every connection; how many there were. */
  std::size_t Cut();

  /**
   * Swallows what comes on `way` of the connections that are open now, for as
   * long as they last, also their close; how many there are.
   */
  std::size_t HalfOpen(SilentWay way);

  /** Disturbs frames from now on, or passes them on again. */
  void SetFrameFault(FrameFault fault);

  /** What passes the datagrams. */
  DatagramProxy& datagrams();

  /** Frames that were disturbed so far. */
  std::size_t disturbed() const;

 private:
  struct Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace peridotgate::prove

#endif  // TESTING_PROVE_LINK_PROXY_H_
