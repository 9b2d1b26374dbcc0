// Interfaces to callers, backend servers and the platform. The gateway makes
// decisions on these types; implementations only map them to header names and
// formats.
#ifndef GATEWAY_PROTOCOL_H_
#define GATEWAY_PROTOCOL_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <boost/asio/awaitable.hpp>
#include <boost/beast/http/fields.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

#include "coordination/result.h"
#include "gateway/fleet_view.h"
#include "gateway/rules.h"

namespace peridotgate::gateway {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using coordination::Result;

using RequestHead = http::request_header<http::fields>;
using ResponseHead = http::response_header<http::fields>;

/** One segment of a prompt: a shared part, or the request's own last part. */
struct PromptPart {
  std::string id;
  std::int64_t tokens = 0;
};

/** The decoded head of a caller's request. */
struct CallerHead {
  std::string request_id;
  std::string key;  // The organisation's API key; may be empty.
  std::string model;
  std::vector<PromptPart> prompt;
  std::int64_t prompt_tokens = 0;
  std::int64_t output_tokens = 0;  // Upper bound on generated tokens.
  std::optional<Millis> patience;  // How long the caller is willing to wait.
  std::string resume_after;        // Id of the last event received, if any.
};

/** Information that the gateway adds to a request for one backend server. */
struct DispatchHead {
  std::string server_id;     // Any other incarnation rejects the request.
  std::string organisation;  // Empty on open routes.
  std::string cache_scope;   // Cached parts are only shared within one scope.
  std::string resume_after;  // Id of the last event that the caller has.
  Millis time_left{0};
  std::optional<int> priority;
  // A server with another version rejects it.
  std::optional<std::int64_t> weights_version;
  std::optional<runtime::Endpoint> fetch_from;  // Source of cached parts.
  // Store that should keep the parts too.
  std::optional<runtime::Endpoint> save_to;
};

/** Load figures that a backend server reported at one moment. */
struct ServerLoad {
  int running = 0;
  int waiting = 0;
  int slots = 0;
  double slowness = 1;  // Processing time relative to normal; 1 is normal.
};

/** The decoded head of a backend server's response. */
struct ServerHead {
  std::string request_id;
  bool sealed = false;        // Signed by the server itself.
  bool not_executed = false;  // The request has not run and never will.
  bool leaving = false;       // The server wants no new requests.
  std::optional<double> retry_after_s;  // As it was sent, not checked.
  // The rate of requests that the server takes from all gateways together.
  bool names_limit = false;
  std::optional<double> limit_per_s;  // Not checked; none if unreadable.
  std::optional<ServerLoad> load;
  std::optional<std::int64_t> weights_version;
};

/** An order to a backend server to load weights. */
struct WeightsOrder {
  std::string model;
  std::int64_t version = 0;
  std::string holder;      // The current lease holder.
  std::int64_t token = 0;  // Fencing token; never decreases.
  // The order is only executed if the server has accepted this many so far.
  std::int64_t expected_orders = 0;
};

/** A backend server's report on its orders and weights. */
struct ServerReport {
  std::int64_t orders_taken = 0;
  bool busy = false;                            // An order is in progress.
  std::map<std::string, std::int64_t> weights;  // Version by model.
};

/** A backend server's response to an order. */
enum class OrderAnswer {
  kAccepted,     // Execution has started.
  kAlreadyHeld,  // The weights are already loaded.
  kRefused,      // Another order is running, or the order count differs.
  kFenced,       // The fencing token is out of date.
  kOtherServer,  // Another incarnation answers at the address.
  kInvalid,      // The server does not understand the order.
};

/** A part that was added to or removed from a cache. */
struct CacheEvent {
  bool added = false;
  std::string scope;
  std::string part;
};

/** Changes in the contents of a cache. */
struct CacheChanges {
  std::int64_t epoch = 0;  // A new epoch means that the cache restarted empty.
  std::int64_t next = 0;   // Position from which to continue.
  bool lost = false;       // Some changes are missing.
  std::vector<CacheEvent> events;
};

/** Wire format towards callers. */
class CallerProtocol {
 public:
  virtual ~CallerProtocol() = default;
  virtual CallerHead Read(const RequestHead& head) const = 0;
};

/** Wire format towards backend servers. */
class ServerProtocol {
 public:
  virtual ~ServerProtocol() = default;
  /** Rewrites a caller's request head into the head for one server. */
  virtual void Prepare(RequestHead& head, const DispatchHead& with) const = 0;
  virtual ServerHead Read(const ResponseHead& head) const = 0;
  /** Makes the request for the report of `server_id`. */
  virtual http::request<http::string_body> AskReport(
      const std::string& server_id) const = 0;
  /** Parses a report; returns nothing if the body is unreadable. */
  virtual std::optional<ServerReport> ReadReport(
      std::string_view body) const = 0;
  /** Makes the request that sends an order to `server_id`. */
  virtual http::request<http::string_body> MakeOrder(
      const std::string& server_id,
      const WeightsOrder& order) const = 0;
  virtual OrderAnswer ReadOrderAnswer(unsigned status) const = 0;
  /** Makes the request for the changes after `since`; the server may hold it
   * for up to `wait` when there are none. */
  virtual http::request<http::string_body> AskCacheChanges(
      std::int64_t since,
      Millis wait) const = 0;
  /** Parses cache changes; returns nothing if the body is unreadable. */
  virtual std::optional<CacheChanges> ReadCacheChanges(
      std::string_view body) const = 0;
  /** Removes the headers of a response that are not meant for callers. */
  virtual void CleanAnswer(ResponseHead& head) const = 0;
};

}  // namespace peridotgate::gateway

#endif  // GATEWAY_PROTOCOL_H_
