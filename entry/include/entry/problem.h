// Errors for callers as RFC 9457 problem documents.
#ifndef ENTRY_PROBLEM_H_
#define ENTRY_PROBLEM_H_

#include <cstdint>
#include <string>
#include <string_view>

#include "runtime/http.h"
#include "wire/codec.h"

namespace peridotgate::entry {

/** An error response for a caller. */
struct Problem {
  unsigned status = 500;
  wire::Outcome::type outcome = wire::Outcome::kNotRun;
  std::string title;
  std::string detail;
  std::int64_t retry_after_ms = 0;
};

/** "ran", "not_run" or "unknown". */
std::string_view OutcomeName(wire::Outcome::type outcome);

/** The short name of a reason, for metric labels and JSON keys. */
std::string_view ReasonName(wire::Reason::type reason);

/** The problem that describes this outcome and reason to a caller. */
Problem MakeProblem(wire::Outcome::type outcome,
                    wire::Reason::type reason,
                    std::string detail,
                    std::int64_t retry_after_ms);

/** `problem` as JSON. */
std::string ToJson(const Problem& problem);

/** `problem` as an HTTP response. */
runtime::HttpResponse ToResponse(const Problem& problem);

}  // namespace peridotgate::entry

#endif  // ENTRY_PROBLEM_H_
