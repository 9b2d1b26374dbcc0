// Reassembles messages from the byte stream of a connection.
#ifndef WIRE_FRAME_BUFFER_H_
#define WIRE_FRAME_BUFFER_H_

#include <cstddef>
#include <functional>
#include <string>
#include <string_view>

#include "wire/codec.h"

namespace peridotgate::wire {

/** Buffers received bytes until they form complete frames. */
class FrameBuffer {
 public:
  /** Receives a message. Returning false stops decoding. */
  using OnMessage = std::function<bool(Message&&)>;

  void Append(std::string_view bytes) { bytes_.append(bytes); }

  /**
   * Decodes and removes all complete messages. Returns false if one is
   * malformed.
   */
  bool DecodeMessages(const OnMessage& on_message);

 private:
  std::string bytes_;
};

}  // namespace peridotgate::wire

#endif  // WIRE_FRAME_BUFFER_H_
