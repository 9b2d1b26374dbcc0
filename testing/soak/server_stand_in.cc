#include "soak/server_stand_in.h"

#include <algorithm>
#include <charconv>
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
// The platform's page: no request reaches a server later than this after it
// said that it leaves, sent on by a gateway that was in touch for kContact.
constexpr milliseconds kDrainLimit{2000};
constexpr milliseconds kContact{3000};
// It goes on serving for a little longer.
constexpr milliseconds kLinger{3000};
constexpr std::uint16_t kProxyOffset = 1;

asio::awaitable<void> Pause(asio::io_context& context, milliseconds time) {
  asio::steady_timer timer(context, time);
  co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
}

std::string Header(const runtime::HttpRequest& request, std::string_view name) {
  const auto found = request.find(name);
  return found == request.end() ? "" : std::string(found->value());
}

int Number(const std::string& text) {
  int value = 0;
  std::from_chars(text.data(), text.data() + text.size(), value);
  return value;
}

}  // namespace

int EventsOf(const std::string& request_id) {
  constexpr int kLeast = 5;
  constexpr int kSpread = 120;
  return kLeast +
         static_cast<int>(std::hash<std::string>()(request_id) % kSpread);
}

std::string EventText(const std::string& request_id, int event) {
  return "id: " + std::to_string(event) + "\ndata: " + request_id + " " +
         std::to_string(event) + "\n\n";
}

std::string BodyOf(const std::string& request_id) {
  return "answer to " + request_id;
}

std::string SealOf(const std::string& request_id) {
  return "seal-" + request_id;
}

ServerStandIn::ServerStandIn(Surroundings& around,
                             std::string service,
                             std::uint16_t port,
                             std::uint64_t seed)
    : around_(around),
      service_(std::move(service)),
      port_(port),
      server_(
          around.context,
          {},
          [this](runtime::HttpRequest request,
                 runtime::HttpExchange& exchange) {
            return Handle(std::move(request), exchange);
          },
          around.metrics),
      proxy_(around.context,
             {"127.0.0.1", static_cast<std::uint16_t>(port + kProxyOffset)},
             {"127.0.0.1", port},
             seed,
             prove::LinkUnit::kBytes) {
  std::string error;
  PG_CHECK(server_.Listen({"127.0.0.1", port}, error));
}

void ServerStandIn::Start(bool same_id) {
  ++life_;
  if (!same_id || id_.empty()) {
    id_ = "i-" + std::to_string(port_) + "-" + std::to_string(life_);
  }
  up_ = true;
  leaving_ = false;
  loading_ = false;
  orders_ = 0;
  token_ = 0;
  born_ms_ = std::chrono::duration_cast<milliseconds>(
                 std::chrono::system_clock::now().time_since_epoch())
                 .count();
  Register();
}

void ServerStandIn::Crash() {
  ++life_;
  up_ = false;
  proxy_.Cut();
  around_.store.Remove("servers", id_);
}

asio::awaitable<void> ServerStandIn::Leave() {
  const int life = life_;
  leaving_ = true;
  leaving_since_ = std::chrono::steady_clock::now();
  Register();
  co_await Pause(around_.context, kLinger);
  if (life == life_) {
    Crash();
    Start(false);
  }
}

void ServerStandIn::Register() {
  json::object row{
      {"service", service_},
      {"address", "127.0.0.1:" + std::to_string(port_ + kProxyOffset)},
      {"zone", "one"},
      {"version", 1},
      {"slots", is_engine() ? 64 : 6},
      {"state", leaving_ ? "draining" : "ready"},
      {"cold_left_ms", 0},
      {"sequence", orders_},
      {"born", born_ms_}};
  if (is_engine()) {
    row["models"] =
        json::array{json::object{{"name", "model"}, {"version", weights_}}};
  }
  around_.store.Put("servers", id_, row);
}

asio::awaitable<void> ServerStandIn::Handle(runtime::HttpRequest request,
                                            runtime::HttpExchange& exchange) {
  if (!up_) {
    exchange.Abort();
    co_return;
  }
  const std::string expected = Header(request, "Peridotgate-Expect-Instance");
  if (!expected.empty() && expected != id_) {
    co_await exchange.Send(NotRun(request, 421));
    co_return;
  }
  if (request.target() == "/v1/report") {
    const json::object model{{"name", "model"}, {"version", weights_}};
    const json::object report{{"busy", loading_},
                              {"sequence", orders_},
                              {"models", json::array{model}}};
    co_await exchange.Send(
        runtime::MakeResponse(http::status::ok, json::serialize(report)));
    co_return;
  }
  if (request.target() == "/v1/order") {
    runtime::HttpResponse answer = TakeOrder(request);
    co_await exchange.Send(std::move(answer));
    co_return;
  }
  const std::string version = Header(request, "Peridotgate-Expect-Version");
  if (!version.empty() && Number(version) != weights_) {
    co_await exchange.Send(NotRun(request, 421));
    co_return;
  }
  if (loading_) {
    co_await exchange.Send(NotRun(request, 503));
    co_return;
  }
  NoteRun(request);
  if (is_engine()) {
    co_await Stream(request, exchange);
  } else {
    co_await Call(request, exchange);
  }
}

void ServerStandIn::NoteRun(const runtime::HttpRequest& request) {
  const auto now = std::chrono::steady_clock::now();
  if (leaving_ && around_.calm_since() + kContact <= leaving_since_) {
    around_.report.Check("none_after_leaving",
                         now - leaving_since_ <= kDrainLimit, id_);
  }
  around_.report.Check("key_is_not_passed_on",
                       Header(request, "Authorization").empty());
  around_.ledger.OnRun(Header(request, "Peridotgate-Request-Id"),
                       std::string(request.target()), request.body(),
                       Header(request, "Peridotgate-Tenant"));
}

asio::awaitable<void> ServerStandIn::Stream(const runtime::HttpRequest& request,
                                            runtime::HttpExchange& exchange) {
  const int life = life_;
  const std::string id = Header(request, "Peridotgate-Request-Id");
  const int last = EventsOf(id);
  auto head = MakeAnswer(request, 200, "");
  head.set(http::field::content_type, "text/event-stream");
  bool open = co_await exchange.BeginStream(std::move(head));
  for (int i = Number(Header(request, "Last-Event-Id")) + 1; open && i <= last;
       ++i) {
    co_await Pause(around_.context, kEventPause);
    if (life != life_) {
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

asio::awaitable<void> ServerStandIn::Call(const runtime::HttpRequest& request,
                                          runtime::HttpExchange& exchange) {
  const int life = life_;
  co_await Pause(around_.context, kCallTime);
  if (life != life_) {
    exchange.Abort();
    co_return;
  }
  auto answer = MakeAnswer(request, 200,
                           BodyOf(Header(request, "Peridotgate-Request-Id")));
  co_await exchange.Send(std::move(answer));
}

runtime::HttpResponse ServerStandIn::TakeOrder(
    const runtime::HttpRequest& request) {
  const json::value order = json::parse(request.body());
  const auto token = order.at("fence").to_number<std::int64_t>();
  const auto version = order.at("version").to_number<std::int64_t>();
  around_.report.Check("tokens_only_grow", token >= token_, id_);
  token_ = std::max(token_, token);
  if (version == weights_) {
    return runtime::MakeResponse(http::status::ok, "{}");
  }
  if (loading_ || order.at("expected").to_number<std::int64_t>() != orders_) {
    return runtime::MakeResponse(http::status::conflict, "{}");
  }
  around_.report.Check("weights_go_forward", version > weights_, id_);
  ++orders_;
  loading_ = true;
  asio::co_spawn(around_.context, LoadWeights(version), asio::detached);
  return runtime::MakeResponse(http::status::accepted, "{}");
}

asio::awaitable<void> ServerStandIn::LoadWeights(std::int64_t version) {
  const int life = life_;
  co_await Pause(around_.context, kLoadTime);
  if (life == life_) {
    weights_ = version;
    loading_ = false;
    Register();
  }
}

runtime::HttpResponse ServerStandIn::MakeAnswer(
    const runtime::HttpRequest& request,
    unsigned status,
    std::string body) const {
  const std::string id = Header(request, "Peridotgate-Request-Id");
  auto answer =
      runtime::MakeResponse(static_cast<http::status>(status), std::move(body));
  answer.set("Peridotgate-Request-Id", id);
  answer.set("Peridotgate-Server-Seal", SealOf(id));
  if (is_engine()) {
    answer.set("Peridotgate-Weight-Versions", std::to_string(weights_));
  }
  return answer;
}

runtime::HttpResponse ServerStandIn::NotRun(const runtime::HttpRequest& request,
                                            unsigned status) const {
  auto answer = MakeAnswer(request, status, "");
  answer.erase("Peridotgate-Server-Seal");
  answer.set("Peridotgate-Not-Executed", "1");
  return answer;
}

}  // namespace peridotgate::soak
