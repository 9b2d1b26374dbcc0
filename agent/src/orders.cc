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

constexpr std::size_t kMaxQueued = 16;
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

  struct QueuedOrder {
    LinkNumber from = 0;
    wire::Order order;
  };

  asio::io_context& context;
  platform::Table& table;
  runtime::HttpClient server;
  runtime::Metrics& metrics;
  Reply reply;
  coordination::FencingGate gate;
  std::deque<QueuedOrder> waiting;
  bool processing = false;

  // Reads the current token from the table. Returns false on failure.
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

  // The agent may not have received an order from the newest lease holder, but
  // the table has its token. So the token is read for every order, and the
  // order is rejected if the read fails.
  asio::awaitable<FenceVerdict> CheckToken(std::int64_t token) {
    const bool token_read = co_await ReadToken();
    co_return token_read ? gate.Admit(token) : FenceVerdict::kUnknown;
  }

  void Answer(const QueuedOrder& it, bool accepted, std::string_view detail) {
    metrics.GetCounter("peridotgate_agent_orders_total", {{"result", detail}})
        .Add();
    wire::OrderResult result;
    result.order_id = it.order.order_id;
    result.accepted = accepted;
    result.highest_token = gate.highest();
    result.detail = detail;
    reply(it.from, result);
  }

  // Processes orders one at a time, so that an older one is never in progress
  // when a newer one is sent. The token is checked when the order's turn comes.
  asio::awaitable<void> ProcessQueue(std::shared_ptr<Impl> /*self*/) {
    while (!waiting.empty()) {
      const QueuedOrder next = std::move(waiting.front());
      waiting.pop_front();
      const FenceVerdict verdict =
          co_await CheckToken(next.order.fencing_token);
      if (verdict == FenceVerdict::kAccepted) {
        co_await ForwardToServer(next);
      } else {
        Answer(next, false, VerdictName(verdict));
      }
    }
    processing = false;
  }

  asio::awaitable<void> ForwardToServer(const QueuedOrder& it) {
    auto response = co_await server.Fetch(MakeRequest(it.order), kOrderTimeout);
    const bool succeeded = response && response.value().result_int() == kOk;
    Answer(it, succeeded, succeeded ? "accepted" : "server_refused");
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
  Impl::QueuedOrder it{from, std::move(order)};
  if (impl_->waiting.size() >= kMaxQueued) {
    impl_->Answer(it, false, "queue_full");
    return;
  }
  impl_->waiting.push_back(std::move(it));
  if (!impl_->processing) {
    impl_->processing = true;
    asio::co_spawn(impl_->context, impl_->ProcessQueue(impl_), asio::detached);
  }
}

}  // namespace peridotgate::agent
