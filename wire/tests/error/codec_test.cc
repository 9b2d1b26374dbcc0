#include "wire/codec.h"

#include <random>

#include <gtest/gtest.h>

namespace peridotgate::wire {
namespace {

std::span<const std::byte> Bytes(const std::string& text) {
  return std::as_bytes(std::span(text));
}

std::string SampleDatagram() {
  ProbeRequest probe;
  probe.probe_id = 7;
  probe.organisation = "tailors";
  probe.prefix_keys = {1, 2, 3};
  return EncodeDatagram(probe);
}

TEST(Codec, RoundTrip) {
  const std::string datagram = SampleDatagram();
  auto decoded = Decode(Bytes(datagram));
  ASSERT_TRUE(decoded.has_value());
  EXPECT_EQ(std::get<ProbeRequest>(decoded.value()).prefix_keys.size(), 3U);
}

TEST(Codec, RejectsMalformedBytes) {
  std::string datagram = SampleDatagram();
  {
    SCOPED_TRACE("a different protocol version");
    std::string other = datagram;
    other[0] = kProtocol + 1;
    EXPECT_EQ(Decode(Bytes(other)).error(), WireError::kOtherProtocol);
  }
  {
    SCOPED_TRACE("an unknown message type");
    std::string other = datagram;
    other[1] = 120;
    EXPECT_EQ(Decode(Bytes(other)).error(), WireError::kUnknownType);
  }
  {
    SCOPED_TRACE("truncated at each byte");
    for (std::size_t n = 0; n + 1 < datagram.size(); ++n) {
      EXPECT_FALSE(Decode(Bytes(datagram).first(n)).has_value()) << n;
    }
  }
  {
    SCOPED_TRACE("random bytes do not crash the decoder");
    std::mt19937 random(11);
    for (int i = 0; i < 20000; ++i) {
      std::string noise(random() % 64 + 2, '\0');
      for (char& it : noise) {
        it = static_cast<char>(random());
      }
      noise[0] = kProtocol;
      noise[1] = static_cast<char>(random() % std::variant_size_v<Message>);
      (void)Decode(Bytes(noise));
    }
  }
}

}  // namespace
}  // namespace peridotgate::wire
