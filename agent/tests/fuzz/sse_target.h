// Fuzz target: event streams of an engine, split into reads of any size. The
// first byte of an input is the read size.
#ifndef AGENT_TESTS_FUZZ_SSE_TARGET_H_
#define AGENT_TESTS_FUZZ_SSE_TARGET_H_

#include <algorithm>
#include <string>
#include <string_view>
#include <vector>

#include "coordination/check.h"
#include "sse.h"

namespace peridotgate::agent {

/** The data of all complete events in `bytes`, fed in `read_size` pieces. */
inline std::vector<std::string> SplitInReadsOf(std::string_view bytes,
                                               std::size_t read_size) {
  SseSplitter splitter;
  std::vector<std::string> events;
  for (std::size_t i = 0; i < bytes.size(); i += read_size) {
    splitter.Feed(bytes.substr(i, read_size));
    while (auto it = splitter.Next()) {
      events.push_back(std::move(*it));
    }
    PG_CHECK(!splitter.overflowed());
  }
  return events;
}

/** `text` with each of its LFs written as `line_end`. */
inline std::string WithLineEnds(std::string_view text,
                                std::string_view line_end) {
  std::string out;
  for (const char it : text) {
    it == '\n' ? out += line_end : out += it;
  }
  return out;
}

/** Checks that read sizes and line ends don't change the events. */
struct SseTarget {
  static std::vector<std::string> Seeds() {
    return {"\1data: {\"n\":1}\n\ndata: [DONE]\n\n",
            "\3\xEF\xBB\xBF: alive\r\n\r\nid: 7\r\ndata: a\r\ndata: b\r\n\r\n",
            "\5event: x\rdata:a\rdata\rdata: \r\r: c\r\rdata: cut\r"};
  }

  static void Run(std::string_view input) {
    if (input.empty()) {
      return;
    }
    const auto read_size = static_cast<unsigned char>(input.front());
    const std::string_view bytes = input.substr(1);
    const auto events =
        SplitInReadsOf(bytes, std::max<std::size_t>(1, bytes.size()));
    PG_CHECK(SplitInReadsOf(bytes, std::max<std::size_t>(1, read_size)) ==
             events);
    std::string written;
    for (const std::string& it : events) {
      PG_CHECK(it.find('\r') == std::string::npos);
      written += "data: " + WithLineEnds(it, "\ndata: ") + "\n\n";
    }
    for (const char* line_end : {"\n", "\r", "\r\n"}) {
      PG_CHECK(SplitInReadsOf(WithLineEnds(written, line_end),
                              read_size + 1U) == events);
    }
  }
};

}  // namespace peridotgate::agent

#endif  // AGENT_TESTS_FUZZ_SSE_TARGET_H_
