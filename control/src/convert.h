// Conversions between wire messages and the types of `coordination`.
#ifndef CONTROL_CONVERT_H_
#define CONTROL_CONVERT_H_

#include <optional>
#include <string>
#include <vector>

#include "coordination/configuration_gossip.h"
#include "coordination/membership.h"
#include "runtime/settings_reader.h"
#include "wire/codec.h"

namespace peridotgate::control {

/** Digests carry `instance`, the name of the sender. */
wire::Message ToWire(const coordination::GossipMessage& message,
                     const std::string& instance);

/** Returns empty for messages that are not configuration gossip. */
std::optional<coordination::GossipMessage> GossipFromWire(
    const wire::Message& message);

wire::MemberUpdate ToWire(
    const std::vector<coordination::MemberRecord>& records);
std::vector<coordination::MemberRecord> FromWire(
    const wire::MemberUpdate& update);

coordination::PeerAddress ToPeer(const runtime::Endpoint& endpoint);
runtime::Endpoint ToEndpoint(const coordination::PeerAddress& peer);

}  // namespace peridotgate::control

#endif  // CONTROL_CONVERT_H_
