#include "wire/codec.h"

#include <array>
#include <cstring>
#include <memory>
#include <utility>

#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/transport/TBufferTransports.h>

namespace peridotgate::wire {
namespace {

using apache::thrift::protocol::TCompactProtocolT;
using apache::thrift::transport::TMemoryBuffer;
using Protocol = TCompactProtocolT<TMemoryBuffer>;
using coordination::Result;

constexpr std::size_t kHeaderBytes = 2;
constexpr int kMaxContainerElements = 1 << 20;

// A buffer and protocol, reused by each thread to avoid set-up per message.
struct Writer {
  std::shared_ptr<TMemoryBuffer> buffer = std::make_shared<TMemoryBuffer>();
  Protocol protocol{buffer};
};

template <class T>
std::string_view Write(const T& value) {
  thread_local Writer writer;
  writer.buffer->resetBuffer();
  value.write(&writer.protocol);
  std::uint8_t* data = nullptr;
  std::uint32_t size = 0;
  writer.buffer->getBuffer(&data, &size);
  return {reinterpret_cast<const char*>(data), size};
}

// A reader is discarded after a larger message, since its buffer stays large.
constexpr std::size_t kMaxRetainedReaderBytes = 64 << 10;

// The counterpart of `Writer`. Replaced after a malformed message, which leaves
// the protocol inside a struct.
struct Reader {
  std::shared_ptr<TMemoryBuffer> buffer = std::make_shared<TMemoryBuffer>();
  Protocol protocol{buffer, kMaxMessageBytes, kMaxContainerElements};
};

template <class T>
Result<T, WireError> Read(std::span<const std::byte> bytes) {
  thread_local std::unique_ptr<Reader> reader;
  if (!reader) {
    reader = std::make_unique<Reader>();
  }
  // Thrift takes a mutable pointer but does not write in OBSERVE mode.
  auto* data = const_cast<std::uint8_t*>(
      reinterpret_cast<const std::uint8_t*>(bytes.data()));
  // Resets Thrift's byte count, so that its size limit applies to each message
  // and not to all messages of this thread together.
  reader->buffer->readEnd();
  reader->buffer->resetBuffer(data, static_cast<std::uint32_t>(bytes.size()),
                              TMemoryBuffer::OBSERVE);
  try {
    T value;
    value.read(&reader->protocol);
    if (bytes.size() > kMaxRetainedReaderBytes) {
      reader.reset();
    }
    return value;
  } catch (const std::exception&) {
    reader.reset();
    return WireError::kMalformed;
  }
}

template <std::size_t kIndex>
Result<Message, WireError> ReadAlternative(std::span<const std::byte> bytes) {
  auto value = Read<std::variant_alternative_t<kIndex, Message>>(bytes);
  if (!value) {
    return value.error();
  }
  return Message(std::in_place_index<kIndex>, std::move(value.value()));
}

using ReadFunction = Result<Message, WireError> (*)(std::span<const std::byte>);

template <std::size_t... kIndices>
constexpr auto MakeReaders(std::index_sequence<kIndices...>) {
  return std::array<ReadFunction, sizeof...(kIndices)>{
      &ReadAlternative<kIndices>...};
}

constexpr auto kReaders =
    MakeReaders(std::make_index_sequence<std::variant_size_v<Message>>());

void AppendBody(const Message& message, std::string& out) {
  out.push_back(static_cast<char>(kProtocol));
  out.push_back(static_cast<char>(message.index()));
  out.append(std::visit([](const auto& it) { return Write(it); }, message));
}

}  // namespace

std::string_view Name(WireError error) {
  switch (error) {
    case WireError::kTooLarge:
      return "too_large";
    case WireError::kOtherProtocol:
      return "other_protocol";
    case WireError::kUnknownType:
      return "unknown_type";
    case WireError::kMalformed:
      return "malformed";
  }
  return "unknown";
}

void AppendFrame(const Message& message, std::string& out) {
  const std::size_t start = out.size();
  out.append(kLengthBytes, '\0');
  AppendBody(message, out);
  const std::size_t length = out.size() - start - kLengthBytes;
  for (std::size_t i = 0; i < kLengthBytes; ++i) {
    const std::size_t shift = 8 * (kLengthBytes - 1 - i);
    out[start + i] = static_cast<char>((length >> shift) & 0xff);
  }
}

std::string EncodeDatagram(const Message& message) {
  std::string out;
  AppendBody(message, out);
  return out;
}

Result<Message, WireError> Decode(std::span<const std::byte> bytes) {
  if (bytes.size() < kHeaderBytes) {
    return WireError::kMalformed;
  }
  if (std::to_integer<std::uint8_t>(bytes[0]) != kProtocol) {
    return WireError::kOtherProtocol;
  }
  const auto type = std::to_integer<std::size_t>(bytes[1]);
  if (type >= kReaders.size()) {
    return WireError::kUnknownType;
  }
  return kReaders[type](bytes.subspan(kHeaderBytes));
}

Result<std::size_t, WireError> DecodeLength(
    std::span<const std::byte, kLengthBytes> bytes) {
  std::size_t length = 0;
  for (std::byte it : bytes) {
    length = (length << 8) | std::to_integer<std::size_t>(it);
  }
  if (length > kMaxMessageBytes) {
    return WireError::kTooLarge;
  }
  return length;
}

Id ToWire(const coordination::Id128& id) {
  Id wire;
  wire.high = static_cast<std::int64_t>(id.high);
  wire.low = static_cast<std::int64_t>(id.low);
  return wire;
}

coordination::Id128 FromWire(const Id& id) {
  return {static_cast<std::uint64_t>(id.high),
          static_cast<std::uint64_t>(id.low)};
}

template <class T>
std::string EncodeStruct(const T& value) {
  return std::string(Write(value));
}

template <class T>
Result<T, WireError> DecodeStruct(std::string_view bytes) {
  return Read<T>(std::as_bytes(std::span(bytes)));
}

template std::string EncodeStruct(const OrganisationRules&);
template std::string EncodeStruct(const FleetRules&);
template std::string EncodeStruct(const ConfigChange&);
template std::string EncodeStruct(const ConfigPush&);
template std::string EncodeStruct(const Member&);
template std::string EncodeStruct(const ClaimRecord&);
template std::string EncodeStruct(const RolloutNotice&);
template std::string EncodeStruct(const FeedQuery&);
template std::string EncodeStruct(const FeedCopy&);
template std::string EncodeStruct(const UseNotice&);
template Result<UseNotice, WireError> DecodeStruct(std::string_view);
template Result<RolloutNotice, WireError> DecodeStruct(std::string_view);
template Result<FeedQuery, WireError> DecodeStruct(std::string_view);
template Result<FeedCopy, WireError> DecodeStruct(std::string_view);
template Result<OrganisationRules, WireError> DecodeStruct(std::string_view);
template Result<FleetRules, WireError> DecodeStruct(std::string_view);
template Result<ConfigChange, WireError> DecodeStruct(std::string_view);
template Result<ConfigPush, WireError> DecodeStruct(std::string_view);
template Result<Member, WireError> DecodeStruct(std::string_view);
template Result<ClaimRecord, WireError> DecodeStruct(std::string_view);

}  // namespace peridotgate::wire
