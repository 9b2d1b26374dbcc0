// Addresses of peer processes, and random selection among them.
#ifndef COORDINATION_PEERS_H_
#define COORDINATION_PEERS_H_

#include <compare>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <random>
#include <string>
#include <vector>

namespace peridotgate::coordination {

/** The IP address and port of a process; comparable and hashable. */
struct PeerAddress {
  std::string address;
  std::uint16_t port = 0;

  auto operator<=>(const PeerAddress&) const = default;
};

/** Random engine of the protocol classes; seeded by their owner. */
using RandomEngine = std::mt19937_64;

/** Selects peers to send to. An interface, so that tests can replace it. */
class PeerSource {
 public:
  virtual ~PeerSource() = default;

  /** Returns up to `n` distinct random peers, excluding this process. */
  virtual std::vector<PeerAddress> Draw(std::size_t n,
                                        RandomEngine& random) const = 0;
};

}  // namespace peridotgate::coordination

template <>
struct std::hash<peridotgate::coordination::PeerAddress> {
  std::size_t operator()(
      const peridotgate::coordination::PeerAddress& it) const noexcept {
    return std::hash<std::string>()(it.address) * 65537 + it.port;
  }
};

#endif  // COORDINATION_PEERS_H_
