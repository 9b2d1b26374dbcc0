// A stand-in for a plain service. It executes every call it receives and counts
// the executions per idempotency key, so that a test can detect duplicates.
#include <map>

#include <CLI/CLI.hpp>
#include <boost/json.hpp>

#include "standins/run.h"

namespace peridotgate::standins {
namespace {

namespace json = boost::json;

// Padding of the length that the call requests in "answer_bytes".
std::string MakePadding(const std::string& text) {
  boost::system::error_code ec;
  const json::value call = json::parse(text, ec);
  const json::value* field =
      ec || !call.is_object() ? nullptr
                              : call.get_object().if_contains("answer_bytes");
  return std::string(field == nullptr ? 0 : field->to_number<std::size_t>(),
                     'p');
}

class Service {
 public:
  Service(asio::io_context& context, std::int64_t service_us)
      : context_(context), service_us_(service_us) {}

  asio::awaitable<void> Handle(HttpRequest request, HttpExchange& exchange) {
    if (request.target() == "/runs") {
      co_await exchange.Send(RunCounts());
      co_return;
    }
    const std::string key(request["idempotency-key"]);
    const std::int64_t run = ++runs_[key];
    co_await Sleep(context_, std::chrono::microseconds(service_us_));
    json::object body{{"padding", MakePadding(request.body())},
                      {"path", std::string(request.target())},
                      {"key", key},
                      {"run", run},
                      {"echo", request.body()}};
    co_await exchange.Send(
        runtime::MakeResponse(http::status::ok, json::serialize(body)));
  }

 private:
  runtime::HttpResponse RunCounts() const {
    json::object body;
    for (const auto& [key, count] : runs_) {
      body[key] = count;
    }
    return runtime::MakeResponse(http::status::ok, json::serialize(body));
  }

  asio::io_context& context_;
  std::int64_t service_us_;
  std::map<std::string, std::int64_t> runs_;
};

}  // namespace
}  // namespace peridotgate::standins

int main(int argc, char** argv) {
  std::string listen;
  std::int64_t service_us = 1000;
  CLI::App app("standin-service");
  app.add_option("--listen", listen)->required();
  app.add_option("--service-us", service_us);
  CLI11_PARSE(app, argc, argv);
  boost::asio::io_context context(1);
  peridotgate::standins::Service service(context, service_us);
  return peridotgate::standins::Run(
      context, listen,
      [&](peridotgate::runtime::HttpRequest request,
          peridotgate::runtime::HttpExchange& exchange) {
        return service.Handle(std::move(request), exchange);
      });
}
