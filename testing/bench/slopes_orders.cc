// Slopes of orders to backend servers, which their agents carry out.
#include <array>
#include <deque>

#include "agent/orders.h"
#include "bench/slopes.h"
#include "bench/slopes_meter.h"
#include "runtime/http.h"

namespace peridotgate::bench {
namespace {

namespace asio = boost::asio;

constexpr std::chrono::milliseconds kTableTimeout{2000};
constexpr std::array<std::size_t, 5> kOrderCounts = {10, 30, 100, 300, 1000};

wire::Order MakeOrder(std::size_t index) {
  wire::Order order;
  order.order_id.low = static_cast<std::int64_t>(index);
  order.lease = "orders";
  order.fencing_token = static_cast<std::int64_t>(index) + 1;
  order.kind = wire::OrderKind::kLoad;
  order.model = "horn-1";
  order.adapter = "horn-1-tailors-and-shirtmakers";
  order.weights_version = 2;
  return order;
}

// Serves both as the platform table, which holds no lease yet, and as the
// backend server.
asio::awaitable<void> AnswerAll(runtime::HttpRequest /*request*/,
                                runtime::HttpExchange& exchange) {
  co_await exchange.Send(
      runtime::MakeResponse(runtime::http::status::ok, "{}"));
}

// Runs `n` orders sequentially. The cost includes the agent, the server that it
// calls, and a table read for each order.
double OrderMicros(std::size_t n) {
  asio::io_context context(1);
  runtime::Metrics metrics;
  runtime::HttpServer server(context, {}, &AnswerAll, metrics);
  std::string error;
  server.Listen({"127.0.0.1", 0}, error);
  const runtime::Endpoint server_address{"127.0.0.1", server.port()};
  std::size_t sent = 0;
  std::size_t accepted = 0;
  std::function<void()> send_next;
  platform::HttpTable table(context, server_address, kTableTimeout);
  agent::Orders orders(
      context, table, server_address, metrics,
      [&](agent::LinkNumber /*from*/, const wire::OrderResult& result) {
        accepted += result.accepted ? 1 : 0;
        send_next();
      });
  // An order whose table read fails is not counted.
  send_next = [&] {
    if (accepted == n) {
      context.stop();
      return;
    }
    asio::post(context, [&] { orders.OnOrder(0, MakeOrder(sent++)); });
  };
  send_next();
  return CpuMicros([&] { context.run(); });
}

std::vector<double> MeasureOrders(const BenchTargets& /*targets*/,
                                  std::size_t n) {
  const double heap_bytes = HeapGrowth([&] {
    std::deque<wire::Order> waiting;
    for (std::size_t i = 0; i < n; ++i) {
      waiting.push_back(MakeOrder(i));
    }
    return waiting;
  });
  return {OrderMicros(n), heap_bytes};
}

constexpr std::array<SlopeOutput, 2> kOrderOutputs = {
    {{"order_us", "us an order, agent and server"},
     {"order_bytes", "B of heap an order in hand"}}};

constexpr std::array<SlopeCase, 1> kCases = {
    {{kOrderOutputs, kOrderCounts, &MeasureOrders}}};

}  // namespace

std::span<const SlopeCase> OrderSlopes() {
  return kCases;
}

}  // namespace peridotgate::bench
