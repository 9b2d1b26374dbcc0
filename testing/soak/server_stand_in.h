// A stand-in for one backend server, by the platform's protocol: streams that
// go on after an event, calls that count as run, orders, and a row in the
// store.
#ifndef TESTING_SOAK_SERVER_STAND_IN_H_
#define TESTING_SOAK_SERVER_STAND_IN_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include <boost/asio/io_context.hpp>

#include "prove/link_proxy.h"
#include "prove/report.h"
#include "runtime/http.h"
#include "soak/ledger.h"
#include "soak/rows_stand_in.h"

namespace peridotgate::soak {

using SteadyTime = std::chrono::steady_clock::time_point;

/** What all servers of a run share. */
struct Surroundings {
  asio::io_context& context;
  RowsStandIn& store;
  Ledger& ledger;
  prove::Report& report;
  runtime::Metrics& metrics;
  // Since when no fault has stood; the far future while one does.
  std::function<SteadyTime()> calm_since;
};

/** One server behind a proxy. */
class ServerStandIn {
 public:
  /** Listens on `port`, is registered with the proxy's port after it. */
  ServerStandIn(Surroundings& around,
                std::string service,
                std::uint16_t port,
                std::uint64_t seed);

  /** Begins a new life: with another id, or the same one. */
  void Start(bool same_id);
  /** All connections end and nothing is answered until the next `Start`. */
  void Crash();
  /** Tells that it leaves, serves for a while, then starts anew. */
  asio::awaitable<void> Leave();

  prove::LinkProxy& proxy() { return proxy_; }
  bool is_engine() const { return service_ == "engines"; }
  std::int64_t weights() const { return weights_; }

 private:
  asio::awaitable<void> Handle(runtime::HttpRequest request,
                               runtime::HttpExchange& exchange);
  asio::awaitable<void> Stream(const runtime::HttpRequest& request,
                               runtime::HttpExchange& exchange);
  asio::awaitable<void> Call(const runtime::HttpRequest& request,
                             runtime::HttpExchange& exchange);
  runtime::HttpResponse TakeOrder(const runtime::HttpRequest& request);
  asio::awaitable<void> LoadWeights(std::int64_t version);
  void NoteRun(const runtime::HttpRequest& request);
  void Register();
  runtime::HttpResponse MakeAnswer(const runtime::HttpRequest& request,
                                   unsigned status,
                                   std::string body) const;
  runtime::HttpResponse NotRun(const runtime::HttpRequest& request,
                               unsigned status) const;

  Surroundings& around_;
  std::string service_;
  std::uint16_t port_;
  std::string id_;
  int life_ = 0;
  bool up_ = false;
  bool loading_ = false;
  std::int64_t born_ms_ = 0;
  std::int64_t weights_ = 1;
  std::int64_t orders_ = 0;
  std::int64_t token_ = 0;
  bool leaving_ = false;
  SteadyTime leaving_since_{};
  runtime::HttpServer server_;
  prove::LinkProxy proxy_;
};

/** The events of a stream for this request: how many there are. */
int EventsOf(const std::string& request_id);
/** The text of one of them. */
std::string EventText(const std::string& request_id, int event);
/** The body of a whole answer to it. */
std::string BodyOf(const std::string& request_id);
std::string SealOf(const std::string& request_id);

}  // namespace peridotgate::soak

#endif  // TESTING_SOAK_SERVER_STAND_IN_H_
