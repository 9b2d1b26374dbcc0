// Runs the HTTP server of a stand-in until SIGTERM or SIGINT.
#ifndef TESTING_STANDINS_RUN_H_
#define TESTING_STANDINS_RUN_H_

#include <csignal>
#include <cstdio>
#include <string>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "runtime/http.h"

namespace peridotgate::standins {

namespace asio = boost::asio;
namespace http = runtime::http;
using runtime::HttpExchange;
using runtime::HttpRequest;

/** Waits without blocking the thread. */
inline asio::awaitable<void> Sleep(asio::io_context& context,
                                   std::chrono::microseconds time) {
  asio::steady_timer timer(context, time);
  co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
}

/** Serves `handler` on `address` until a signal; returns the exit status. */
inline int Run(asio::io_context& context,
               const std::string& address,
               runtime::HttpHandler handler) {
  runtime::Metrics metrics;
  runtime::HttpLimits limits;
  limits.read_timeout = std::chrono::hours(1);
  limits.write_timeout = std::chrono::hours(1);
  runtime::HttpServer server(context, limits, std::move(handler), metrics);
  auto endpoint = runtime::ParseEndpoint(address);
  std::string error = "--listen: expected IP:PORT";
  if (!endpoint || !server.Listen(*endpoint, error)) {
    std::fprintf(stderr, "%s\n", error.c_str());
    return 1;
  }
  asio::signal_set signals(context, SIGTERM, SIGINT);
  signals.async_wait([&](boost::system::error_code, int) { context.stop(); });
  context.run();
  return 0;
}

}  // namespace peridotgate::standins

#endif  // TESTING_STANDINS_RUN_H_
