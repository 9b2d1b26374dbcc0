// Fuzz target: parsing the id of a stream event, which a caller sends back to
// resume the stream.
#ifndef ENTRY_TESTS_FUZZ_EVENT_ID_TARGET_H_
#define ENTRY_TESTS_FUZZ_EVENT_ID_TARGET_H_

#include <string>
#include <string_view>
#include <vector>

#include "caller_request.h"
#include "coordination/check.h"

namespace peridotgate::entry {

/** Checks that each id accepted by the parser survives a round trip. */
struct EventIdTarget {
  static std::vector<std::string> Seeds() {
    return {"0123456789abcdef0123456789abcdef/127.0.0.1:7000/12",
            "0123456789abcdef0123456789abcdef/127.0.0.1:7000/"
            "9223372036854775807",
            "ffffffffffffffffffffffffffffffff/[::1]:65535/0"};
  }

  static void Run(std::string_view input) {
    auto point = ParseEventId(input);
    if (!point) {
      return;
    }
    PG_CHECK(point->resume.position > 0);
    auto again = ParseEventId(FormatEventId(point->request, point->resume.agent,
                                            point->resume.position - 1));
    PG_CHECK(again.has_value());
    PG_CHECK(again->request == point->request);
    PG_CHECK(runtime::ToString(again->resume.agent) ==
             runtime::ToString(point->resume.agent));
    PG_CHECK(again->resume.position == point->resume.position);
  }
};

}  // namespace peridotgate::entry

#endif  // ENTRY_TESTS_FUZZ_EVENT_ID_TARGET_H_
