// Rendezvous hashing: every process chooses the candidate with the lowest rank,
// so all make the same choice without communicating.
#ifndef COORDINATION_RENDEZVOUS_H_
#define COORDINATION_RENDEZVOUS_H_

#include <cstdint>
#include <string_view>

namespace peridotgate::coordination {

/** The rank of `candidate` for `purpose`; identical in every process. */
std::uint64_t RendezvousRank(std::string_view candidate,
                             std::string_view purpose);

}  // namespace peridotgate::coordination

#endif  // COORDINATION_RENDEZVOUS_H_
