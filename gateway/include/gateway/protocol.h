// The seams towards callers, backend servers and the platform. The gateway
// decides on these types; an implementation only names and formats.
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

/** One level of a prompt: a shared part, or the request's own last one. */
struct PromptPart {
  std::string id;
  std::int64_t tokens = 0;
};

/** What a caller's head says, decoded once. */
struct CallerHead {
  std::string request_id;
  std::string key;  // Of the organisation; empty without one.
  std::string model;
  std::vector<PromptPart> prompt;
  std::int64_t prompt_tokens = 0;
  std::int64_t output_tokens = 0;  // The most that may be generated.
  std::optional<Millis> patience;  // How long the caller waits.
  std::string resume_after;        // The id of the last event received, if any.
};

/** What the gateway adds to a request for one backend server. */
struct DispatchHead {
  std::string server_id;     // Any other incarnation refuses the request.
  std::string organisation;  // Empty on open routes.
  std::string cache_scope;   // Cached parts are found only under the same.
  std::string resume_after;  // The last event that the caller has.
  Millis time_left{0};
  std::optional<int> priority;
  std::optional<std::int64_t> weights_version;  // Others refuse.
  std::optional<runtime::Endpoint> fetch_from;  // Holds cached parts.
  std::optional<runtime::Endpoint> save_to;     // Is to keep them too.
};

/** A backend server's own figures at one moment. */
struct ServerLoad {
  int running = 0;
  int waiting = 0;
  int slots = 0;
  double slowness = 1;  // How long work takes there; 1 is as usual.
};

/** What a backend server's response head says, decoded once. */
struct ServerHead {
  std::string request_id;
  bool sealed = false;        // Signed as the server's own answer.
  bool not_executed = false;  // The request has not run and never will.
  std::optional<ServerLoad> load;
  std::optional<std::int64_t> weights_version;
};

/** An order to a backend server to load weights. */
struct WeightsOrder {
  std::string model;
  std::int64_t version = 0;
  std::string holder;                // Who gives orders now.
  std::int64_t token = 0;            // Fencing token; only grows.
  std::int64_t expected_orders = 0;  // Carried out only if so many were taken.
};

/** What a backend server says of its orders and weights. */
struct ServerReport {
  std::int64_t orders_taken = 0;
  bool busy = false;  // An order is being carried out.
  std::map<std::string, std::int64_t> weights;  // Version by model.
};

/** What a backend server made of an order. */
enum class OrderAnswer {
  kAccepted,     // Is being carried out.
  kAlreadyHeld,  // The weights are in place.
  kRefused,      // Another order is under way, or the count differs.
  kFenced,       // A higher token was seen.
  kOtherServer,  // Another incarnation has the address.
  kInvalid,      // The server does not know such an order.
};

/** A part that a place of cached parts took or dropped. */
struct CacheEvent {
  bool added = false;
  std::string scope;
  std::string part;
};

/** What changed at a place of cached parts. */
struct CacheChanges {
  std::int64_t epoch = 0;  // Another one: it has started again, empty.
  std::int64_t next = 0;   // Where the next question goes on.
  bool lost = false;       // Some changes are not told.
  std::vector<CacheEvent> events;
};

/** The caller's side of the wire. */
class CallerProtocol {
 public:
  virtual ~CallerProtocol() = default;
  virtual CallerHead Read(const RequestHead& head) const = 0;
};

/** The backend server's side of the wire. */
class ServerProtocol {
 public:
  virtual ~ServerProtocol() = default;
  /** Turns a caller's head into the head for one server, in place. */
  virtual void Prepare(RequestHead& head, const DispatchHead& with) const = 0;
  virtual ServerHead Read(const ResponseHead& head) const = 0;
  /** The request that asks `server_id` for its report. */
  virtual http::request<http::string_body> AskReport(
      const std::string& server_id) const = 0;
  /** The report in an answer's body, or nothing when it is unreadable. */
  virtual std::optional<ServerReport> ReadReport(
      std::string_view body) const = 0;
  /** The request that gives `server_id` an order. */
  virtual http::request<http::string_body> MakeOrder(
      const std::string& server_id,
      const WeightsOrder& order) const = 0;
  virtual OrderAnswer ReadOrderAnswer(unsigned status) const = 0;
  /** The request for what changed after `since`; held for up to `wait`. */
  virtual http::request<http::string_body> AskCacheChanges(
      std::int64_t since,
      Millis wait) const = 0;
  /** The changes in an answer's body, or nothing when it is unreadable. */
  virtual std::optional<CacheChanges> ReadCacheChanges(
      std::string_view body) const = 0;
  /** Removes from an answer what is not meant for callers. */
  virtual void CleanAnswer(ResponseHead& head) const = 0;
};

}  // namespace peridotgate::gateway

#endif  // GATEWAY_PROTOCOL_H_
