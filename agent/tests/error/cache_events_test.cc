// Missing, invalid and out-of-range cache events must be detected, since the
// index would otherwise claim blocks that the server doesn't have.
#include <gtest/gtest.h>

#include "cache_events.h"

namespace peridotgate::agent {
namespace {

constexpr std::string_view kStored =
    R"("event":"stored","request_id":"0123456789abcdef0123456789abcdef",)";

std::string Event(std::int64_t n, std::string_view rest) {
  return "{\"seq\":" + std::to_string(n) + "," + std::string(rest) + "}";
}

std::string Stored(std::int64_t n, std::string_view rest) {
  return Event(n, std::string(kStored) + std::string(rest));
}

TEST(CacheEvents, InvalidOrMissingEventsAreGaps) {
  const std::string removed = R"("event":"removed","block":1)";
  for (const std::string& it :
       {std::string("not json"), std::string("[]"), std::string("{}"),
        Event(4, removed), Event(6, removed), Event(-5, removed),
        Event(5, R"("event":"removed")"),
        Event(5, R"("event":"removed","block":"1")")}) {
    CacheEventReader reader;
    EXPECT_TRUE(reader.Read(Event(4, removed)).event.has_value());
    const CacheEventReading reading = reader.Read(it);
    EXPECT_TRUE(reading.gap) << it;
    EXPECT_FALSE(reading.event) << it;
  }
  CacheEventReader reader;
  EXPECT_TRUE(reader.Read(Event(INT64_MAX, removed)).gap)
      << "no sequence number can follow";
}

TEST(CacheEvents, BlockIdsAre64BitIntegers) {
  CacheEventReader reader;
  {
    SCOPED_TRACE("ids above 63 bits are kept exactly");
    auto reading =
        reader.Read(Stored(1, R"("block":18446744073709551615,"piece":0)"));
    ASSERT_TRUE(reading.event.has_value());
    EXPECT_EQ(std::get<BlockStored>(*reading.event).block, UINT64_MAX);
    reading = reader.Read(
        Event(2, R"("event":"removed","block":9223372036854775808)"));
    ASSERT_TRUE(reading.event.has_value());
    EXPECT_EQ(std::get<BlockRemoved>(*reading.event).block,
              std::uint64_t{1} << 63);
  }
  {
    SCOPED_TRACE("a negative id has the same 64 bits");
    const auto reading = reader.Read(Stored(3, R"("block":-2,"piece":0)"));
    ASSERT_TRUE(reading.event.has_value());
    EXPECT_EQ(std::get<BlockStored>(*reading.event).block, UINT64_MAX - 1);
  }
  {
    SCOPED_TRACE("a stored event without block or piece is ignored; no gap");
    std::int64_t n = 4;
    for (const char* it :
         {R"("piece":0)", R"("block":1)", R"("block":1,"piece":4294967296)",
          R"("block":1.5,"piece":0)"}) {
      const CacheEventReading reading = reader.Read(Stored(n++, it));
      EXPECT_FALSE(reading.gap) << it;
      EXPECT_FALSE(reading.event) << it;
    }
  }
}

}  // namespace
}  // namespace peridotgate::agent
