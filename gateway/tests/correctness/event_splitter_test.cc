// Complete events must be returned unmodified, whatever the sizes of the pieces
// fed.
#include "event_splitter.h"

#include <string>
#include <vector>

#include <gtest/gtest.h>

namespace peridotgate::gateway {
namespace {

TEST(EventSplitter, ReturnsWholeEventsForPiecesOfAnySize) {
  const std::string text =
      "id: 1\ndata: a\n\nid:2\r\ndata: b\r\n\r\n: note\n\ndata: c\nid: 3\n\n"
      "id: 4\ndata: cut";
  const std::vector<std::string> ids = {"1", "2", "", "3"};
  for (std::size_t size = 1; size <= text.size(); ++size) {
    SCOPED_TRACE(size);
    EventSplitter splitter;
    std::vector<std::string> seen;
    std::string whole;
    for (std::size_t at = 0; at < text.size(); at += size) {
      splitter.Feed(std::string_view(text).substr(at, size));
      while (const auto event = splitter.Next()) {
        seen.emplace_back(event->id);
        whole += event->bytes;
      }
    }
    EXPECT_EQ(seen, ids);
    EXPECT_EQ(splitter.rest(), "id: 4\ndata: cut");
    EXPECT_EQ(whole + std::string(splitter.rest()), text);
    EXPECT_FALSE(splitter.overflowed());
  }
}

TEST(EventSplitter, DetectsAnOversizedEvent) {
  EventSplitter splitter;
  splitter.Feed("data: " + std::string(EventSplitter::kMaxEventBytes, 'x'));
  EXPECT_FALSE(splitter.Next());
  EXPECT_TRUE(splitter.overflowed());
}

}  // namespace
}  // namespace peridotgate::gateway
