// Forwards datagrams to an address and the replies back; on request drops,
// delays, duplicates or reorders them.
#ifndef TESTING_PROVE_DATAGRAM_PROXY_H_
#define TESTING_PROVE_DATAGRAM_PROXY_H_

#include <cstddef>
#include <cstdint>
#include <memory>

#include <boost/asio/io_context.hpp>

#include "runtime/settings_reader.h"

namespace peridotgate::prove {

/** A kind of datagram disturbance, active until changed. */
enum class DatagramFault { kNone, kDelayed, kDuplicated, kReordered, kLost };

/**
 * A proxy for the datagram socket of a process. Each sender has its own
 * forwarding socket, so that replies can be routed back to it.
 */
class DatagramProxy {
 public:
  DatagramProxy(boost::asio::io_context& context,
                const runtime::Endpoint& listen,
                const runtime::Endpoint& target,
                std::uint64_t seed);
  ~DatagramProxy();

  /**
   * Disturbs datagrams in both directions from now on; kNone restores normal
   * forwarding.
   */
  void SetFault(DatagramFault fault);

  /** The number of datagrams disturbed so far. */
  std::size_t disturbed() const;

 private:
  struct Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace peridotgate::prove

#endif  // TESTING_PROVE_DATAGRAM_PROXY_H_
