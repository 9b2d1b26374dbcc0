// Parses a caller's HTTP request and validates it against the rules.
#ifndef ENTRY_CALLER_REQUEST_H_
#define ENTRY_CALLER_REQUEST_H_

#include "coordination/result.h"
#include "entry/messages.h"
#include "entry/problem.h"
#include "runtime/http.h"

namespace peridotgate::entry {

/** A valid request, and whether to answer it as a stream. */
struct CallerRequest {
  RouteCall route;
  bool streamed = false;
};

/** The organisation of the request's bearer key, or null. */
const wire::OrganisationRules* Authenticate(
    const RulesBook& rules,
    const runtime::HttpRequest& request);

/** The call described by `request`, or the problem with it. */
coordination::Result<CallerRequest, Problem> ReadCallerRequest(
    const wire::OrganisationRules& organisation,
    const runtime::HttpRequest& request);

/** The common prefix of a stream's event ids; the position follows it. */
std::string EventIdPrefix(const Id128& request, const runtime::Endpoint& agent);

/** The id of a stream event; with it, any entry can resume the stream. */
std::string FormatEventId(const Id128& request,
                          const runtime::Endpoint& agent,
                          std::int64_t position);

/** A stream, and the position at which to resume it. */
struct EventPoint {
  Id128 request;
  ResumePoint resume;
};

/** The point after the event with this id; empty if `id` is malformed. */
std::optional<EventPoint> ParseEventId(std::string_view id);

}  // namespace peridotgate::entry

#endif  // ENTRY_CALLER_REQUEST_H_
