// Messages between the event-loop threads of an entry.
#ifndef ENTRY_MESSAGES_H_
#define ENTRY_MESSAGES_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include <boost/asio/io_context.hpp>

#include "coordination/crash_attribution.h"
#include "coordination/ids.h"
#include "entry/rules_book.h"
#include "platform/instance_list.h"
#include "runtime/settings_reader.h"
#include "wire/codec.h"

namespace peridotgate::entry {

namespace asio = boost::asio;

using coordination::Id128;

/** The agent that last served a stream, and the position to resume at. */
struct ResumePoint {
  runtime::Endpoint agent;
  std::int64_t position = 0;
};

/** Caller server to router: route this call. */
struct RouteCall {
  Id128 request_id;
  wire::Dispatch dispatch;  // Without the fields that the router sets.
  std::string model;
  std::int64_t first_token_objective_ms = 0;
  bool second_attempt = false;
  std::optional<ResumePoint> resume;
};

/** Caller server to router: the caller is gone, or its answer is complete. */
struct DropCall {
  Id128 request_id;
};

/**
 * Caller server to router: the caller has consumed the answer's events up to
 * `position`.
 */
struct CallConsumed {
  Id128 request_id;
  std::int64_t position = 0;
};

using RouterCommand = std::variant<RouteCall, DropCall, CallConsumed>;

/** Maximum number of events sent to a caller but not yet consumed. */
inline constexpr std::int64_t kStreamCredit = 256;

/** The head of the answer; `agent` becomes part of the event ids. */
struct CallHead {
  std::int32_t status = 0;
  std::string content_type;
  runtime::Endpoint agent;
  bool replayed = false;
};

/** One stream event, or the body, and its position in the whole answer. */
struct CallData {
  std::int64_t position = 0;
  std::string bytes;
};

/** Tokens used for an answer. */
struct CallUsage {
  std::int64_t cached_tokens = 0;
  std::int64_t prefill_tokens = 0;
  std::int64_t output_tokens = 0;
};

/** The answer is complete, or was cut off for `reason`. */
struct CallEnd {
  wire::Outcome::type outcome = wire::Outcome::kRan;
  wire::Reason::type reason = wire::Reason::kNone;
  std::string detail;
  CallUsage usage = {};
};

/** There is no answer; `outcome` says whether the call ran. */
struct CallRefused {
  wire::Outcome::type outcome = wire::Outcome::kNotRun;
  wire::Reason::type reason = wire::Reason::kNone;
  std::string detail;
  std::int64_t retry_after_ms = 0;
};

/** Router to caller server: progress of a call. */
struct CallEvent {
  Id128 request_id;
  std::variant<CallHead, CallData, CallEnd, CallRefused> payload;
};

/** Router to control: an agent has newer rules than this entry. */
struct NewerRules {
  runtime::Endpoint agent;
  std::int64_t version = 0;
};

/** Control to caller server and router: the current rules and instances. */
struct ClusterView {
  std::shared_ptr<const RulesBook> rules;
  std::shared_ptr<const std::vector<platform::ListedInstance>> instances;
  std::shared_ptr<const std::vector<coordination::Quarantine>> quarantines;
};

}  // namespace peridotgate::entry

#endif  // ENTRY_MESSAGES_H_
