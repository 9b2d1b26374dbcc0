// Serves the simulated platform within a test. It can delay the next write or
// stop answering after it.
#ifndef OPERATE_TESTS_PLATFORM_SERVICE_H_
#define OPERATE_TESTS_PLATFORM_SERVICE_H_

#include <atomic>
#include <chrono>
#include <string>
#include <thread>

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json.hpp>

#include "runtime/duty.h"
#include "runtime/http.h"
#include "standins/platform_model.h"

namespace peridotgate::operate {

namespace asio = boost::asio;

/** Serves a table and an empty list of instances on an ephemeral port. */
class PlatformService {
 public:
  PlatformService()
      : duty_("platform"),
        server_(
            duty_.context(),
            {},
            [this](runtime::HttpRequest request,
                   runtime::HttpExchange& exchange) {
              return Handle(std::move(request), exchange);
            },
            metrics_) {
    std::string error;
    server_.Listen({"127.0.0.1", 0}, error);
    duty_.Start();
  }

  ~PlatformService() { duty_.Stop(); }

  std::string address() {
    return "127.0.0.1:" + std::to_string(server_.port());
  }

  /** Delays the next write until `Release`. */
  void HoldNextWrite() { hold_ = true; }
  void WaitUntilHeld() const {
    while (!held_) {
      std::this_thread::yield();
    }
  }
  void Release() { held_ = false; }

  /** The next write takes effect, but neither it nor later calls are answered.
   */
  void FailAfterNextWrite() { fail_after_write_ = true; }
  void Recover() { is_down_ = false; }

  int reads() const { return reads_; }
  int writes() const { return writes_; }

 private:
  asio::awaitable<void> Handle(runtime::HttpRequest request,
                               runtime::HttpExchange& exchange) {
    if (is_down_) {
      exchange.Abort();
      co_return;
    }
    if (request.target() == "/instances") {
      co_await exchange.Send(runtime::MakeResponse(runtime::http::status::ok,
                                                   R"({"instances":[]})"));
      co_return;
    }
    const std::string target(request["X-Amz-Target"]);
    const std::string operation = target.substr(target.find('.') + 1);
    const bool writes = operation == "TransactWriteItems";
    ++(writes ? writes_ : reads_);
    if (writes && hold_.exchange(false)) {
      co_await HoldBack();
    }
    const standins::TableAnswer answer =
        table_.Call(operation, boost::json::parse(request.body()).as_object());
    if (writes && fail_after_write_.exchange(false)) {
      is_down_ = true;
      exchange.Abort();
      co_return;
    }
    co_await exchange.Send(runtime::MakeResponse(
        runtime::http::int_to_status(answer.status),
        boost::json::serialize(answer.body), "application/x-amz-json-1.0"));
  }

  asio::awaitable<void> HoldBack() {
    held_ = true;
    asio::steady_timer timer(duty_.context());
    while (held_) {
      timer.expires_after(std::chrono::milliseconds(1));
      co_await timer.async_wait(asio::use_awaitable);
    }
  }

  std::atomic<bool> hold_ = false;
  std::atomic<bool> held_ = false;
  std::atomic<bool> fail_after_write_ = false;
  std::atomic<bool> is_down_ = false;
  std::atomic<int> reads_ = 0;
  std::atomic<int> writes_ = 0;
  standins::TableModel table_;
  runtime::Metrics metrics_;
  runtime::Duty duty_;
  runtime::HttpServer server_;
};

}  // namespace peridotgate::operate

#endif  // OPERATE_TESTS_PLATFORM_SERVICE_H_
