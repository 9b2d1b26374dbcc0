// Fuzz target: the decoder of datagrams, that is of one message without its
// length field.
#ifndef WIRE_TESTS_FUZZ_MESSAGES_TARGET_H_
#define WIRE_TESTS_FUZZ_MESSAGES_TARGET_H_

#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "coordination/check.h"
#include "wire/codec.h"

namespace peridotgate::wire {

/** A default message of each type, and some with fields set. */
inline std::vector<Message> SampleMessages() {
  std::vector<Message> messages;
  [&]<std::size_t... kIndices>(std::index_sequence<kIndices...>) {
    (messages.emplace_back(std::in_place_index<kIndices>), ...);
  }
  (std::make_index_sequence<std::variant_size_v<Message>>());
  ProbeRequest probe;
  probe.organisation = "tailors";
  probe.prefix_keys = {1, 2, 3};
  messages.emplace_back(probe);
  Dispatch dispatch;
  dispatch.organisation = "tailors";
  dispatch.body = "{\"model\":\"cutter\"}";
  dispatch.prefix_keys = {4, 5};
  messages.emplace_back(dispatch);
  ReplyChunk chunk;
  chunk.sequence = 3;
  chunk.data = "{\"choices\":[]}";
  messages.emplace_back(chunk);
  return messages;
}

/** A message that decodes must survive a round trip unchanged. */
struct MessagesTarget {
  static std::vector<std::string> Seeds() {
    std::vector<std::string> seeds;
    for (const Message& it : SampleMessages()) {
      seeds.push_back(EncodeDatagram(it));
    }
    return seeds;
  }

  static void Run(std::string_view input) {
    auto message = Decode(std::as_bytes(std::span(input)));
    if (!message) {
      return;
    }
    const std::string written = EncodeDatagram(message.value());
    auto again = Decode(std::as_bytes(std::span(written)));
    PG_CHECK(again.has_value());
    PG_CHECK(EncodeDatagram(again.value()) == written);
  }
};

}  // namespace peridotgate::wire

#endif  // WIRE_TESTS_FUZZ_MESSAGES_TARGET_H_
