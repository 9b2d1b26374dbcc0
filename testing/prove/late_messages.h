// Messages that arrive long after they were sent: an order from a holder whose
// lease has expired, or rules from a peer that is out of date.
#ifndef TESTING_PROVE_LATE_MESSAGES_H_
#define TESTING_PROVE_LATE_MESSAGES_H_

#include <cstdint>

#include "prove/property.h"

namespace peridotgate::prove {

/** The agent's answer to an order. */
enum class OrderAnswer { kNone, kRefused, kAccepted };

/** Sends an order with fencing `token` to the agent of backend `index`. */
asio::awaitable<OrderAnswer> SendOrder(Run& run,
                                       std::size_t index,
                                       std::int64_t token);

/** Pushes a snapshot of `version` to the agent of backend `index`. */
asio::awaitable<void> PushSnapshot(Run& run,
                                   std::size_t index,
                                   std::int64_t version);

}  // namespace peridotgate::prove

#endif  // TESTING_PROVE_LATE_MESSAGES_H_
