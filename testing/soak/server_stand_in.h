// A stand-in for one backend server with the platform's protocol: resumable
// event streams, calls whose executions are recorded, orders to load weights,
// and registration in the store.
#ifndef TESTING_SOAK_SERVER_STAND_IN_H_
#define TESTING_SOAK_SERVER_STAND_IN_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include <boost/asio/io_context.hpp>

#include "prove/link_proxy.h"
#include "prove/report.h"
#include "runtime/http.h"
#include "soak/ledger.h"
#include "soak/row_store_stand_in.h"

namespace peridotgate::soak {

using SteadyTime = std::chrono::steady_clock::time_point;

/** What all servers and callers of a run share. */
struct SoakEnvironment {
  asio::io_context& context;
  RowStoreStandIn& store;
  Ledger& ledger;
  prove::Report& report;
  runtime::Metrics& metrics;
  // Since when no fault has been active; in the far future while one is.
  std::function<SteadyTime()> fault_free_since;
};

/** One backend server behind a proxy. */
class ServerStandIn {
 public:
  /** Listens on `port`; the proxy on the next port is what is registered. */
  ServerStandIn(SoakEnvironment& environment,
                std::string service,
                std::uint16_t port,
                std::uint64_t seed);

  /** Starts or restarts the server, with the same instance id or a new one. */
  void Start(bool same_id);
  /** Closes all connections; nothing is answered until the next `Start`. */
  void Crash();
  /** Announces draining, keeps serving for a while, then restarts. */
  asio::awaitable<void> Drain();

  /** Writes its row again, as it is now. */
  void WriteRowAgain();
  /** Whether it runs under this id. */
  bool IsUp(const std::string& id) const { return up_ && id_ == id; }

  /** Leaves its next order unanswered and carries it out after `time`, also if
   * it has restarted under its id by then. */
  void DelayNextOrder(std::chrono::milliseconds time) { order_delay_ = time; }

  /** Names this limit in its answers, in requests a second; 0: names none. */
  void SetLimit(double per_s) { limit_per_s_ = per_s; }
  /** The requests that reached this server so far. */
  std::size_t arrivals() const { return arrivals_; }

  prove::LinkProxy& proxy() { return proxy_; }
  bool is_engine() const { return service_ == "engines"; }
  std::int64_t weights_version() const { return weights_version_; }

 private:
  asio::awaitable<void> Handle(runtime::HttpRequest request,
                               runtime::HttpExchange& exchange);
  asio::awaitable<void> HandleStream(const runtime::HttpRequest& request,
                                     runtime::HttpExchange& exchange);
  asio::awaitable<void> HandleCall(const runtime::HttpRequest& request,
                                   runtime::HttpExchange& exchange);
  asio::awaitable<void> HandleOrder(const runtime::HttpRequest& request,
                                    runtime::HttpExchange& exchange);
  runtime::HttpResponse AcceptOrder(const json::value& order, bool late);
  asio::awaitable<void> CarryOutLate(json::value order,
                                     std::chrono::milliseconds delay);
  asio::awaitable<void> LoadWeights(std::int64_t version);
  void RecordRun(const runtime::HttpRequest& request);
  void Register();
  runtime::HttpResponse MakeServerResponse(const runtime::HttpRequest& request,
                                           unsigned status,
                                           std::string body) const;
  runtime::HttpResponse MakeNotExecuted(const runtime::HttpRequest& request,
                                        unsigned status) const;

  SoakEnvironment& environment_;
  std::string service_;
  std::uint16_t port_;
  std::string id_;
  int generation_ = 0;
  bool up_ = false;
  bool loading_ = false;
  std::int64_t started_ms_ = 0;
  std::int64_t weights_version_ = 1;
  double limit_per_s_ = 0;
  std::size_t arrivals_ = 0;
  std::int64_t order_sequence_ = 0;
  std::int64_t highest_token_ = 0;
  std::optional<std::chrono::milliseconds> order_delay_;
  bool draining_ = false;
  SteadyTime draining_since_{};
  runtime::HttpServer server_;
  prove::LinkProxy proxy_;
};

/** How many events the stream for this request has. */
int EventCount(const std::string& request_id);
/** The text of one event of that stream, numbered from 1. */
std::string EventText(const std::string& request_id, int event);
/** The body of the response to a call. */
std::string ExpectedBody(const std::string& request_id);
/** The header value that proves that a response comes from a server. */
std::string ServerSeal(const std::string& request_id);

}  // namespace peridotgate::soak

#endif  // TESTING_SOAK_SERVER_STAND_IN_H_
