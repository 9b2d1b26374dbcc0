// Gzip round trips, rejection of bad input, and parsing of Accept-Encoding.
#include "runtime/gzip.h"

#include <gtest/gtest.h>

namespace peridotgate::runtime {
namespace {

TEST(Gzip, RoundTripsAndRejectsBadInput) {
  std::string text;
  for (int i = 0; i < 2000; ++i) {
    text += "calls_total{organisation=\"" + std::to_string(i) + "\"} 7\n";
  }
  const std::string compressed = Gzip(text);
  EXPECT_LT(compressed.size() * 4, text.size());
  EXPECT_EQ(Gunzip(compressed, text.size()), text);
  EXPECT_EQ(Gunzip(Gzip(""), 0), "");
  {
    SCOPED_TRACE("over the size limit, truncated, or not gzip");
    EXPECT_FALSE(Gunzip(compressed, text.size() - 1));
    EXPECT_FALSE(
        Gunzip(compressed.substr(0, compressed.size() / 2), text.size()));
    EXPECT_FALSE(Gunzip(text, text.size()));
  }
}

TEST(Gzip, ParsesAcceptEncoding) {
  EXPECT_TRUE(AcceptsGzip("gzip"));
  EXPECT_TRUE(AcceptsGzip("deflate, GZIP;q=0.5"));
  EXPECT_FALSE(AcceptsGzip(""));
  EXPECT_FALSE(AcceptsGzip("identity, br"));
  EXPECT_FALSE(AcceptsGzip("gzip;q=0, identity"));
  EXPECT_FALSE(AcceptsGzip("gzip;q=0.0"));
}

}  // namespace
}  // namespace peridotgate::runtime
