// Encodes and decodes the messages exchanged between processes.
//
// Frame layout on a connection: u32 big-endian length of the rest of the frame,
// u8 protocol version, u8 message type, then the message in Thrift's compact
// protocol. A datagram has the same layout without the length.
#ifndef WIRE_CODEC_H_
#define WIRE_CODEC_H_

#include <cstddef>
#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <variant>

#include "coordination/ids.h"
#include "coordination/result.h"
#include "wire_types.h"

namespace peridotgate::wire {

/** The protocol version; a peer with a different one is rejected. */
inline constexpr std::uint8_t kProtocol = 1;

/**
 * Whether the sender of `hello` wants a `Hello` back. A request has protocol 0;
 * the reply carries the protocol version.
 */
inline bool AsksForAnswer(const Hello& hello) {
  return hello.protocol == 0;
}

/** The largest message accepted from a peer, in bytes. */
inline constexpr std::size_t kMaxMessageBytes = 16 << 20;

/** The largest datagram sent, in bytes. */
inline constexpr std::size_t kMaxDatagramBytes = 1400;

/** Size of the length field, in bytes. */
inline constexpr std::size_t kLengthBytes = 4;

/** All messages. The index in this list is the message type on the wire. */
using Message = std::variant<Hello,
                             ProbeRequest,
                             ProbeReply,
                             Dispatch,
                             ReplyHead,
                             ReplyChunk,
                             ReplyEnd,
                             Refusal,
                             Cancel,
                             CancelResult,
                             Attach,
                             ConfigDigest,
                             ConfigPull,
                             ConfigPush,
                             MemberUpdate,
                             ShareReport,
                             Order,
                             OrderResult,
                             StreamCredit,
                             CrashFacts>;

/** Why bytes from a peer could not be decoded. */
enum class WireError {
  kTooLarge,
  kOtherProtocol,
  kUnknownType,
  kMalformed,
};

/** A short name for counters and logs. */
std::string_view Name(WireError error);

/** Appends `message` to `out` as a frame with its length field. */
void AppendFrame(const Message& message, std::string& out);

/** Encodes `message` as a datagram. */
std::string EncodeDatagram(const Message& message);

/** Decodes a datagram, or a frame without its length field. */
coordination::Result<Message, WireError> Decode(
    std::span<const std::byte> bytes);

/** Decodes a length field; fails if it is above `kMaxMessageBytes`. */
coordination::Result<std::size_t, WireError> DecodeLength(
    std::span<const std::byte, kLengthBytes> bytes);

/** Conversions between `wire::Id` and `coordination::Id128`. */
Id ToWire(const coordination::Id128& id);
coordination::Id128 FromWire(const Id& id);

/**
 * Serialises a Thrift struct without a header, as stored in the platform's
 * table.
 */
template <class T>
std::string EncodeStruct(const T& value);

/** The reverse of `EncodeStruct`. */
template <class T>
coordination::Result<T, WireError> DecodeStruct(std::string_view bytes);

}  // namespace peridotgate::wire

#endif  // WIRE_CODEC_H_
