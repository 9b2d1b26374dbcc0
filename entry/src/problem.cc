#include "entry/problem.h"

#include <algorithm>
#include <array>

#include <boost/json.hpp>

namespace peridotgate::entry {
namespace {

namespace json = boost::json;
using wire::Reason;

constexpr std::int64_t kMsPerSecond = 1000;
constexpr unsigned kUnavailable = 503;

struct ReasonRow {
  Reason::type reason;
  std::string_view name;
  unsigned status;
  std::string_view title;
};

constexpr std::array<ReasonRow, 18> kReasons = {{
    {Reason::kNone, "none", 500, "Failed"},
    {Reason::kLeaving, "leaving", 503, "The server is leaving"},
    {Reason::kStaleCache, "stale_cache", 503, "The server changed"},
    {Reason::kStaleRules, "stale_rules", 503, "The rules are changing"},
    {Reason::kQueueFull, "queue_full", 429, "Too much work is waiting"},
    {Reason::kWaitLimit, "wait_limit", 429, "The wait limit can't be met"},
    {Reason::kPlatformDown, "platform_down", 503, "The platform is down"},
    {Reason::kKeyReused, "key_reused", 422, "The idempotency key was reused"},
    {Reason::kInProgress, "in_progress", 409, "An attempt has not ended"},
    {Reason::kRevoked, "revoked", 409, "The call was revoked"},
    {Reason::kBackendFailed, "backend_failed", 502, "The server failed"},
    {Reason::kBadMessage, "bad_message", 400, "The request is not valid"},
    {Reason::kNoSuchStream, "no_such_stream", 404, "The stream is not kept"},
    {Reason::kCancelled, "cancelled", 499, "The call was cancelled"},
    {Reason::kNoBackend, "no_backend", 503, "No server can take the call"},
    {Reason::kLateAnswer, "late_answer", 504, "No answer in time"},
    {Reason::kLimit, "limit", 413, "A limit was passed"},
    {Reason::kQuarantinedPart, "quarantined_part", 503,
     "Servers crashed on a part of the request"},
}};

const ReasonRow& FindReason(Reason::type reason) {
  auto it =
      std::find_if(kReasons.begin(), kReasons.end(),
                   [&](const ReasonRow& row) { return row.reason == reason; });
  return it == kReasons.end() ? kReasons.front() : *it;
}

}  // namespace

std::string_view OutcomeName(wire::Outcome::type outcome) {
  switch (outcome) {
    case wire::Outcome::kRan:
      return "ran";
    case wire::Outcome::kNotRun:
      return "not_run";
    case wire::Outcome::kUnknown:
      return "unknown";
  }
  return "unknown";
}

std::string_view ReasonName(Reason::type reason) {
  return FindReason(reason).name;
}

Problem MakeProblem(wire::Outcome::type outcome,
                    Reason::type reason,
                    std::string detail,
                    std::int64_t retry_after_ms) {
  const ReasonRow& row = FindReason(reason);
  return {row.status, outcome, std::string(row.title), std::move(detail),
          retry_after_ms};
}

std::string ToJson(const Problem& problem) {
  json::object document;
  document["type"] = "about:blank";
  document["title"] = problem.title;
  document["status"] = problem.status;
  document["detail"] = problem.detail;
  document["outcome"] = OutcomeName(problem.outcome);
  return json::serialize(document);
}

runtime::HttpResponse ToResponse(const Problem& problem) {
  auto response =
      runtime::MakeResponse(runtime::http::int_to_status(problem.status),
                            ToJson(problem), "application/problem+json");
  if (problem.retry_after_ms > 0) {
    const std::int64_t seconds =
        (problem.retry_after_ms + kMsPerSecond - 1) / kMsPerSecond;
    response.set(runtime::http::field::retry_after, std::to_string(seconds));
  }
  if (problem.status == kUnavailable && problem.retry_after_ms == 0) {
    response.set(runtime::http::field::retry_after, "1");
  }
  return response;
}

}  // namespace peridotgate::entry
