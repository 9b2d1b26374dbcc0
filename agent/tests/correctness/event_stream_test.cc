// Server-sent events must be split correctly for all line ends that the format
// allows and for any read sizes.
#include <gtest/gtest.h>

#include "../fuzz/sse_target.h"

namespace peridotgate::agent {
namespace {

using Events = std::vector<std::string>;

TEST(EventStream, AcceptsAnyLineEndAndReadSize) {
  const std::string_view stream =
      "\xEF\xBB\xBF: a comment, then an event without data\nevent: hello\n\n"
      "id: 7\ndata: {\"n\":1}\nretry: 5\n\n"
      "data:one\ndata:  two\ndatas: no\n data: no\ndata\n\n"
      "data\n\ndata: [DONE]\n\ndata: has no end\n";
  const Events expected{"{\"n\":1}", "one\n two\n", "", "[DONE]"};
  for (const char* line_end : {"\n", "\r", "\r\n"}) {
    const std::string text = WithLineEnds(stream, line_end);
    for (std::size_t read_size = 1; read_size <= text.size(); ++read_size) {
      ASSERT_EQ(SplitInReadsOf(text, read_size), expected)
          << read_size << " bytes a read";
    }
  }
}

TEST(EventStream, EventIsReturnedBeforeLaterBytes) {
  SseSplitter splitter;
  {
    SCOPED_TRACE("a CR ends the event; its LF comes with the next one");
    splitter.Feed("data: 1\r\n\r");
    EXPECT_EQ(splitter.Next(), "1");
    splitter.Feed("\ndata: 2\r\n\r\n");
    EXPECT_EQ(splitter.Next(), "2");
    EXPECT_EQ(splitter.Next(), std::nullopt);
  }
  {
    SCOPED_TRACE("a byte order mark inside the stream isn't skipped");
    splitter.Feed(
        "\xEF\xBB\xBF"
        "data: 3\n\ndata: 4\n\n");
    EXPECT_EQ(splitter.Next(), "4");
  }
}

TEST(EventStream, OnlyIncompleteEventsOverflow) {
  const std::string half(SseSplitter::kMaxEventBytes / 2, 'x');
  const std::string fields[] = {"data: " + half, ": " + half + "\r\n"};
  SseSplitter splitter;
  for (int i = 0; i < 4; ++i) {
    SCOPED_TRACE("comments and complete events don't count");
    splitter.Feed(fields[1] + fields[0] + "\r\n\r\n");
    EXPECT_EQ(splitter.Next(), half);
    EXPECT_EQ(splitter.Next(), std::nullopt);
    EXPECT_FALSE(splitter.overflowed());
  }
  for (const char* line_end : {"\n", ""}) {
    SCOPED_TRACE("an event that isn't complete");
    EXPECT_FALSE(splitter.overflowed());
    splitter.Feed(fields[0] + line_end);
    EXPECT_EQ(splitter.Next(), std::nullopt);
  }
  EXPECT_TRUE(splitter.overflowed());
}

}  // namespace
}  // namespace peridotgate::agent
