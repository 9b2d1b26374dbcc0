#include "agent/orders.h"

#include <deque>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/json.hpp>

#include "control/lease_keeper.h"
#include "coordination/fencing.h"

namespace peridotgate::agent {
namespace {

namespace asio = boost::asio;
namespace json = boost::json;
using coordination::FenceVerdict;

constexpr std::size_t kMaxWaiting = 16;
constexpr std::chrono::seconds kOrderTimeout{30};
constexpr unsigned kOk = 200;

std::string_view KindName(wire::OrderKind::type kind) {
  switch (kind) {
    case wire::OrderKind::kLoad:
      return "load";
    case wire::OrderKind::kUnload:
      return "unload";
    case wire::OrderKind::kRole:
      return "role";
  }
  return "unknown";
}

std::string_view VerdictName(FenceVerdict verdict) {
  switch (verdict) {
    case FenceVerdict::kAccepted:
      return "accepted";
    case FenceVerdict::kStale:
      return "stale_token";
    case FenceVerdict::kUnknown:
      return "current_token_unknown";
  }
  return "unknown";
}

runtime::HttpRequest MakeRequest(const wire::Order& order) {
  json::object body{{"kind", KindName(order.kind)},
                    {"model", order.model},
                    {"adapter", order.adapter},
                    {"weights_version", order.weights_version},
                    {"role", order.role},
                    {"fencing_token", order.fencing_token}};
  return runtime::MakeRequest(runtime::http::verb::post, "/orders",
                              json::serialize(body));
}

}  // namespace

struct Orders::Impl {
  Impl(asio::io_context& context,
       platform::Table& table,
       runtime::Endpoint server,
       runtime::Metrics& metrics,
       Reply reply)
      : context(context),
        table(table),
        server(context, std::move(server)),
        metrics(metrics),
        reply(std::move(reply)) {}

  struct Waiting {
    LinkNumber from = 0;
    wire::Order order;
  };

  asio::io_context& context;
  platform::Table& table;
  runtime::HttpClient server;
  runtime::Metrics& metrics;
  Reply reply;
  coordination::FencingGate gate;
  std::deque<Waiting> waiting;
  bool busy = false;

  // Whether the token in the table is known as it stands now.
  asio::awaitable<bool> ReadToken() {
    auto row = co_await table.Get(control::LeaseKey(control::kOrdersLease));
    if (!row) {
      co_return false;
    }
    if (!row.value()) {
      gate.OnCurrentToken(0);
      co_return true;
    }
    const auto record = control::ReadLeaseRow(*row.value());
    if (!record) {
      co_return false;
    }
    gate.OnCurrentToken(record->token);
    co_return true;
  }

  // An agent may not have heard of the newest holder, but the table has: its
  // token is read for every order, and without it none is carried out.
  asio::awaitable<FenceVerdict> Judge(std::int64_t token) {
    const bool known = co_await ReadToken();
    co_return known ? gate.Admit(token) : FenceVerdict::kUnknown;
  }

  void Answer(const Waiting& it, bool accepted, std::string_view detail) {
    metrics.GetCounter("peridotgate_agent_orders_total", {{"result", detail}})
        .Add();
    wire::OrderResult result;
    result.order_id = it.order.order_id;
    result.accepted = accepted;
    result.highest_token = gate.highest();
    result.detail = detail;
    reply(it.from, result);
  }

  // One order after the other, so that an older one is never under way while
  // a newer one is given. The token is judged when the order's turn comes.
  asio::awaitable<void> Work(std::shared_ptr<Impl> /*self*/) {
    while (!waiting.empty()) {
      const Waiting next = std::move(waiting.front());
      waiting.pop_front();
      const FenceVerdict verdict = co_await Judge(next.order.fencing_token);
      if (verdict == FenceVerdict::kAccepted) {
        co_await Give(next);
      } else {
        Answer(next, false, VerdictName(verdict));
      }
    }
    busy = false;
  }

  asio::awaitable<void> Give(const Waiting& it) {
    auto response = co_await server.Fetch(MakeRequest(it.order), kOrderTimeout);
    const bool good = response && response.value().result_int() == kOk;
    Answer(it, good, good ? "accepted" : "server_refused");
  }
};

Orders::Orders(asio::io_context& context,
               platform::Table& table,
               runtime::Endpoint server,
               runtime::Metrics& metrics,
               Reply reply)
    : impl_(std::make_shared<Impl>(context,
                                   table,
                                   std::move(server),
                                   metrics,
                                   std::move(reply))) {}

Orders::~Orders() = default;

void Orders::OnOrder(LinkNumber from, wire::Order order) {
  Impl::Waiting it{from, std::move(order)};
  if (impl_->waiting.size() >= kMaxWaiting) {
    impl_->Answer(it, false, "queue_full");
    return;
  }
  impl_->waiting.push_back(std::move(it));
  if (!impl_->busy) {
    impl_->busy = true;
    asio::co_spawn(impl_->context, impl_->Work(impl_), asio::detached);
  }
}

}  // namespace peridotgate::agent
