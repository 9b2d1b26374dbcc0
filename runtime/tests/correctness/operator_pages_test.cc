#include "runtime/operator_pages.h"

#include <gtest/gtest.h>

namespace peridotgate::runtime {
namespace {

TEST(OperatorPages, FindsExactAndPrefixPaths) {
  Metrics metrics;
  metrics.GetCounter("seen_total").Add(3);
  OperatorPages pages(metrics);
  pages.Add("/decisions/", [](std::string_view rest) {
    return MakeResponse(http::status::ok, std::string(rest));
  });
  {
    SCOPED_TRACE("metrics and health pages are registered by default");
    EXPECT_NE(pages.Find("/metrics").body().find("seen_total 3"),
              std::string::npos);
    EXPECT_EQ(pages.Find("/healthz").result(), http::status::ok);
  }
  {
    SCOPED_TRACE("a prefix path receives the remainder of the path");
    EXPECT_EQ(pages.Find("/decisions/7").body(), "7");
  }
  {
    SCOPED_TRACE("unknown paths are not found");
    EXPECT_EQ(pages.Find("/decisions").result(), http::status::not_found);
    EXPECT_EQ(pages.Find("/").result(), http::status::not_found);
  }
}

}  // namespace
}  // namespace peridotgate::runtime
