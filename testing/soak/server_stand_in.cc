#include "soak/server_stand_in.h"

#include <algorithm>
#include <charconv>
#include <optional>
#include <utility>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "coordination/check.h"

namespace peridotgate::soak {
namespace {

namespace http = runtime::http;
using std::chrono::milliseconds;

constexpr milliseconds kEventPause{8};
constexpr milliseconds kCallTime{15};
constexpr milliseconds kLoadTime{300};
// The platform's guarantee: no request reaches a server later than this after
// it announced draining, if the gateways had been connected for
// kGatewaySyncTime by then.
constexpr milliseconds kDrainLimit{2000};
constexpr milliseconds kGatewaySyncTime{3000};
// How long a draining server serves; longer than kDrainLimit, so that late
// requests are seen.
constexpr milliseconds kDrainServeTime{3000};
constexpr std::uint16_t kProxyOffset = 1;

asio::awaitable<void> Pause(asio::io_context& context, milliseconds time) {
  asio::steady_timer timer(context, time);
  co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
}

std::string HeaderValue(const runtime::HttpRequest& request,
                        std::string_view name) {
  const auto found = request.find(name);
  return found == request.end() ? "" : std::string(found->value());
}

int ParseNumber(const std::string& text) {
  int value = 0;
  std::from_chars(text.data(), text.data() + text.size(), value);
  return value;
}

}  // namespace

int EventCount(const std::string& request_id) {
  constexpr int kMin = 5;
  constexpr int kSpread = 120;
  return kMin +
         static_cast<int>(std::hash<std::string>()(request_id) % kSpread);
}

std::string EventText(const std::string& request_id, int event) {
  return "id: " + std::to_string(event) + "\ndata: " + request_id + " " +
         std::to_string(event) + "\n\n";
}

std::string ExpectedBody(const std::string& request_id) {
  return "answer to " + request_id;
}

std::string ServerSeal(const std::string& request_id) {
  return "seal-" + request_id;
}

ServerStandIn::ServerStandIn(SoakEnvironment& environment,
                             std::string service,
                             std::uint16_t port,
                             std::uint64_t seed)
    : environment_(environment),
      service_(std::move(service)),
      port_(port),
      server_(
          environment.context,
          {},
          [this](runtime::HttpRequest request,
                 runtime::HttpExchange& exchange) {
            return Handle(std::move(request), exchange);
          },
          environment.metrics),
      proxy_(environment.context,
             {"127.0.0.1", static_cast<std::uint16_t>(port + kProxyOffset)},
             {"127.0.0.1", port},
             seed,
             prove::LinkUnit::kBytes) {
  std::string error;
  PG_CHECK(server_.Listen({"127.0.0.1", port}, error));
}

void ServerStandIn::Start(bool same_id) {
  ++generation_;
  if (!same_id || id_.empty()) {
    id_ = "i-" + std::to_string(port_) + "-" + std::to_string(generation_);
  }
  up_ = true;
  draining_ = false;
  loading_ = false;
  order_sequence_ = 0;
  highest_token_ = 0;
  started_ms_ = std::chrono::duration_cast<milliseconds>(
                    std::chrono::system_clock::now().time_since_epoch())
                    .count();
  Register();
}

void ServerStandIn::Crash() {
  ++generation_;
  up_ = false;
  proxy_.Cut();
  environment_.store.Remove("servers", id_);
}

asio::awaitable<void> ServerStandIn::Drain() {
  const int generation = generation_;
  draining_ = true;
  draining_since_ = std::chrono::steady_clock::now();
  Register();
  co_await Pause(environment_.context, kDrainServeTime);
  if (generation == generation_) {
    Crash();
    Start(false);
  }
}

void ServerStandIn::WriteRowAgain() {
  if (up_) {
    Register();
  }
}

void ServerStandIn::Register() {
  json::object row{
      {"service", service_},
      {"address", "127.0.0.1:" + std::to_string(port_ + kProxyOffset)},
      {"zone", "one"},
      {"version", "v1"},
      {"slots", is_engine() ? 64 : 6},
      {"state", draining_ ? "draining" : "ready"},
      {"cold_left_ms", 0},
      {"sequence", order_sequence_},
      {"born", started_ms_}};
  if (is_engine()) {
    row["models"] = json::array{
        json::object{{"name", "model"}, {"version", weights_version_}}};
  }
  environment_.store.Put("servers", id_, row);
}

asio::awaitable<void> ServerStandIn::Handle(runtime::HttpRequest request,
                                            runtime::HttpExchange& exchange) {
  if (!up_) {
    exchange.Abort();
    co_return;
  }
  const std::string expected =
      HeaderValue(request, "Peridotgate-Expect-Instance");
  if (!expected.empty() && expected != id_) {
    co_await exchange.Send(MakeNotExecuted(request, 421));
    co_return;
  }
  ++arrivals_;
  if (request.target() == "/v1/report") {
    const json::object model{{"name", "model"}, {"version", weights_version_}};
    const json::object report{{"busy", loading_},
                              {"sequence", order_sequence_},
                              {"models", json::array{model}}};
    co_await exchange.Send(
        runtime::MakeResponse(http::status::ok, json::serialize(report)));
    co_return;
  }
  if (request.target() == "/v1/order") {
    co_await HandleOrder(request, exchange);
    co_return;
  }
  const std::string version =
      HeaderValue(request, "Peridotgate-Expect-Version");
  if (!version.empty() && ParseNumber(version) != weights_version_) {
    co_await exchange.Send(MakeNotExecuted(request, 421));
    co_return;
  }
  if (loading_) {
    co_await exchange.Send(MakeNotExecuted(request, 503));
    co_return;
  }
  RecordRun(request);
  if (is_engine()) {
    co_await HandleStream(request, exchange);
  } else {
    co_await HandleCall(request, exchange);
  }
}

void ServerStandIn::RecordRun(const runtime::HttpRequest& request) {
  const auto now = std::chrono::steady_clock::now();
  if (draining_ &&
      environment_.fault_free_since() + kGatewaySyncTime <= draining_since_) {
    environment_.report.Check("none_after_leaving",
                              now - draining_since_ <= kDrainLimit, id_);
  }
  environment_.report.Check("key_is_not_passed_on",
                            HeaderValue(request, "Authorization").empty());
  environment_.ledger.OnRun(HeaderValue(request, "Peridotgate-Request-Id"),
                            std::string(request.target()), request.body(),
                            HeaderValue(request, "Peridotgate-Tenant"));
}

asio::awaitable<void> ServerStandIn::HandleStream(
    const runtime::HttpRequest& request,
    runtime::HttpExchange& exchange) {
  const int generation = generation_;
  const std::string id = HeaderValue(request, "Peridotgate-Request-Id");
  const int last = EventCount(id);
  auto head = MakeServerResponse(request, 200, "");
  head.set(http::field::content_type, "text/event-stream");
  bool open = co_await exchange.BeginStream(std::move(head));
  for (int i = ParseNumber(HeaderValue(request, "Last-Event-Id")) + 1;
       open && i <= last; ++i) {
    co_await Pause(environment_.context, kEventPause);
    if (generation != generation_) {
      exchange.Abort();
      co_return;
    }
    const std::string text = EventText(id, i);
    open = co_await exchange.Write(text);
  }
  if (open) {
    co_await exchange.EndStream();
  }
}

asio::awaitable<void> ServerStandIn::HandleCall(
    const runtime::HttpRequest& request,
    runtime::HttpExchange& exchange) {
  const int generation = generation_;
  co_await Pause(environment_.context, kCallTime);
  if (generation != generation_) {
    exchange.Abort();
    co_return;
  }
  auto response = MakeServerResponse(
      request, 200,
      ExpectedBody(HeaderValue(request, "Peridotgate-Request-Id")));
  co_await exchange.Send(std::move(response));
}

asio::awaitable<void> ServerStandIn::HandleOrder(
    const runtime::HttpRequest& request,
    runtime::HttpExchange& exchange) {
  json::value order = json::parse(request.body());
  const auto token = order.at("fence").to_number<std::int64_t>();
  environment_.report.Check("tokens_only_grow", token >= highest_token_, id_);
  highest_token_ = std::max(highest_token_, token);
  if (const auto delay = std::exchange(order_delay_, std::nullopt)) {
    asio::co_spawn(environment_.context, CarryOutLate(std::move(order), *delay),
                   asio::detached);
    exchange.Abort();
    co_return;
  }
  co_await exchange.Send(AcceptOrder(order, false));
}

asio::awaitable<void> ServerStandIn::CarryOutLate(
    json::value order,
    std::chrono::milliseconds delay) {
  const std::string id = id_;
  co_await Pause(environment_.context, delay);
  if (IsUp(id)) {
    (void)AcceptOrder(order, true);
  }
}

runtime::HttpResponse ServerStandIn::AcceptOrder(const json::value& order,
                                                 bool late) {
  const auto version = order.at("version").to_number<std::int64_t>();
  if (version == weights_version_) {
    return runtime::MakeResponse(http::status::ok, "{}");
  }
  if (loading_ ||
      order.at("expected").to_number<std::int64_t>() != order_sequence_) {
    return runtime::MakeResponse(http::status::conflict, "{}");
  }
  // A late order may name older weights than the server has by then.
  environment_.report.Check("weights_go_forward",
                            late || version > weights_version_, id_);
  ++order_sequence_;
  loading_ = true;
  asio::co_spawn(environment_.context, LoadWeights(version), asio::detached);
  return runtime::MakeResponse(http::status::accepted, "{}");
}

asio::awaitable<void> ServerStandIn::LoadWeights(std::int64_t version) {
  const int generation = generation_;
  co_await Pause(environment_.context, kLoadTime);
  if (generation == generation_) {
    weights_version_ = version;
    loading_ = false;
    Register();
  }
}

runtime::HttpResponse ServerStandIn::MakeServerResponse(
    const runtime::HttpRequest& request,
    unsigned status,
    std::string body) const {
  const std::string id = HeaderValue(request, "Peridotgate-Request-Id");
  auto response =
      runtime::MakeResponse(static_cast<http::status>(status), std::move(body));
  response.set("Peridotgate-Request-Id", id);
  response.set("Peridotgate-Server-Seal", ServerSeal(id));
  if (limit_per_s_ > 0) {
    response.set("Server-Limit", std::to_string(limit_per_s_));
  }
  if (is_engine()) {
    response.set("Peridotgate-Weight-Versions",
                 std::to_string(weights_version_));
  }
  return response;
}

runtime::HttpResponse ServerStandIn::MakeNotExecuted(
    const runtime::HttpRequest& request,
    unsigned status) const {
  auto response = MakeServerResponse(request, status, "");
  response.erase("Peridotgate-Server-Seal");
  response.set("Peridotgate-Not-Executed", "1");
  return response;
}

}  // namespace peridotgate::soak
