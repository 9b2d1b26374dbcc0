// Passes datagrams on to an address and their answers back; loses, delays,
// doubles and reorders them when told.
#ifndef TESTING_PROVE_DATAGRAM_PROXY_H_
#define TESTING_PROVE_DATAGRAM_PROXY_H_

#include <cstddef>
#include <cstdint>
#include <memory>

#include <boost/asio/io_context.hpp>

#include "runtime/settings_reader.h"

namespace peridotgate::prove {

/** A disturbance of datagrams, kept up for a while. */
enum class DatagramFault { kNone, kDelayed, kDuplicated, kReordered, kLost };

/**
 * Stands before the datagram socket of a process. Each sender gets a socket of
 * its own, so that answers find their way back.
 */
class DatagramProxy {
 public:
  DatagramProxy(boost::asio::io_context& context,
                const runtime::Endpoint& listen,
                const runtime::Endpoint& target,
                std::uint64_t seed);
  ~DatagramProxy();

  /** Disturbs datagrams of both ways from now on, or passes all on again. */
  void SetFault(DatagramFault fault);

  /** Datagrams that were disturbed so far. */
  std::size_t disturbed() const;

 private:
  struct Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace peridotgate::prove

#endif  // TESTING_PROVE_DATAGRAM_PROXY_H_
