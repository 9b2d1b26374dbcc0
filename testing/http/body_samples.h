// Bodies of HTTP messages with their framing, for tests of the readers.
#ifndef TESTING_HTTP_BODY_SAMPLES_H_
#define TESTING_HTTP_BODY_SAMPLES_H_

#include <string>
#include <vector>

namespace peridotgate::runtime {

struct BodySample {
  std::string framing;  // Header lines.
  std::string bytes;    // What follows the head.
  std::string body;     // The decoded body of a well-formed message.
};

inline const std::string kChunkedLine = "Transfer-Encoding: chunked\r\n";

/** Complete bodies, empty and full, with extensions and trailers. */
inline std::vector<BodySample> WellFormedBodies() {
  return {
      {"Content-Length: 0\r\n", "", ""},
      {"Content-Length: 5\r\n", "hello", "hello"},
      {kChunkedLine, "0\r\n\r\n", ""},
      {kChunkedLine, "000\r\n\r\n", ""},
      {kChunkedLine, "0;a=b\r\n\r\n", ""},
      {kChunkedLine, "0;a=\"b;\"\r\nA: b\r\n\r\n", ""},
      {kChunkedLine, "0\r\nA: b\r\nC: d\r\n\r\n", ""},
      {kChunkedLine, "5\r\nhello\r\n0\r\n\r\n", "hello"},
      {kChunkedLine, "5;a\r\nhello\r\n0\r\nA: b\r\n\r\n", "hello"},
      {kChunkedLine, "2\r\n\r\n\r\n03;a=\"b\"\r\nllo\r\n0;c\r\n\r\n",
       "\r\nllo"},
  };
}

/** Chunked bodies that no reader may accept. */
inline std::vector<BodySample> MalformedBodies() {
  std::vector<BodySample> samples;
  for (const std::string it :
       {"\r\n\r\n", "x\r\n\r\n", "-1\r\n\r\n", "0\rx\r\n\r\n", "0 x\r\n\r\n",
        "0;\r\n\r\n", "0;a=\"b\r\n\r\n", "0;a=\"b\r\n\"\r\n\r\n",
        "0\r\n: b\r\n\r\n", "0\r\nA\r\n\r\n", "0\r\nA: \x01\r\n\r\n",
        "0\r\nContent-Length: 5\r\n\r\n", "0\r\n\rx\r\n\r\n",
        "5\r\nhello0\r\n\r\n", "5\r\nhello\r0\r\n\r\n", "5;a=\"\r\nhello\r\n",
        "11111111111111111\r\nhello"}) {
    samples.push_back({kChunkedLine, it, ""});
  }
  return samples;
}

}  // namespace peridotgate::runtime

#endif  // TESTING_HTTP_BODY_SAMPLES_H_
