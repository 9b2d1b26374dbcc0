// The Thrift reader that each thread reuses: its size limit must apply to each
// message and not to their sum, and a malformed message must not break the
// decoding of the next one.
#include <gtest/gtest.h>

#include "wire/codec.h"

namespace peridotgate::wire {
namespace {

// Thrift's limit on the bytes of one message.
constexpr std::size_t kThriftLimitBytes = 100 << 20;

std::string Probe(std::size_t keys) {
  ProbeRequest probe;
  probe.prefix_keys.assign(keys, -(std::int64_t{1} << 62));
  return EncodeDatagram(probe);
}

TEST(ReusedReader, KeepsDecoding) {
  {
    SCOPED_TRACE("many messages whose total size exceeds the limit for one");
    const std::string message = Probe(6000);
    const auto bytes = std::as_bytes(std::span(message));
    for (std::size_t n = 0; n <= kThriftLimitBytes + message.size();
         n += message.size()) {
      ASSERT_TRUE(Decode(bytes).has_value()) << n;
    }
  }
  {
    SCOPED_TRACE("a valid message after a malformed one");
    const std::string message = Probe(3);
    const auto bytes = std::as_bytes(std::span(message));
    ASSERT_FALSE(Decode(bytes.first(bytes.size() - 4)).has_value());
    EXPECT_TRUE(Decode(bytes).has_value());
  }
}

}  // namespace
}  // namespace peridotgate::wire
