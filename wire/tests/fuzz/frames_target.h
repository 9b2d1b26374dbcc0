// Fuzz target: the byte stream of a connection, split into reads. The first
// byte of an input is the size of each read.
#ifndef WIRE_TESTS_FUZZ_FRAMES_TARGET_H_
#define WIRE_TESTS_FUZZ_FRAMES_TARGET_H_

#include <algorithm>
#include <string>
#include <string_view>
#include <vector>

#include "coordination/check.h"
#include "frame_buffer.h"
#include "messages_target.h"

namespace peridotgate::wire {

/** Decoding must not depend on how the byte stream is split into reads. */
struct FramesTarget {
  static std::vector<std::string> Seeds() {
    std::string all(1, '\5');
    std::vector<std::string> seeds;
    for (const Message& it : SampleMessages()) {
      AppendFrame(it, all);
      std::string one(1, '\1');
      AppendFrame(it, one);
      seeds.push_back(std::move(one));
    }
    seeds.push_back(std::move(all));
    return seeds;
  }

  static void Run(std::string_view input) {
    if (input.empty()) {
      return;
    }
    const auto read_size = static_cast<unsigned char>(input.front());
    const std::string_view bytes = input.substr(1);
    PG_CHECK(Read(bytes, std::max<std::size_t>(1, read_size)) ==
             Read(bytes, std::max<std::size_t>(1, bytes.size())));
  }

 private:
  // The messages in `bytes`, encoded again; ends in "bad" if one is malformed.
  static std::string Read(std::string_view bytes, std::size_t read_size) {
    FrameBuffer frames;
    std::string out;
    for (std::size_t i = 0; i < bytes.size(); i += read_size) {
      frames.Append(bytes.substr(i, read_size));
      const bool ok = frames.DecodeMessages([&](Message&& message) {
        AppendFrame(message, out);
        return true;
      });
      if (!ok) {
        return out + "bad";
      }
    }
    return out;
  }
};

}  // namespace peridotgate::wire

#endif  // WIRE_TESTS_FUZZ_FRAMES_TARGET_H_
