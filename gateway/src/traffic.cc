#include "gateway/traffic.h"

#include <exception>
#include <string_view>
#include <utility>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "caller_connection.h"
#include "coordination/ids.h"
#include "exchange.h"
#include "retry_limits.h"
#include "runtime/event_log.h"
#include "server_notices.h"
#include "traffic_parts.h"
#include "usage_exchange.h"

namespace peridotgate::gateway {
namespace {

using asio::ip::tcp;
using runtime::LogClass;
using runtime::LogEvent;

constexpr auto kNoThrow = asio::as_tuple(asio::use_awaitable);
constexpr Millis kPrunePeriod{1000};
// Delay after a failed accept, for example when descriptors run out.
constexpr Millis kAcceptPause{20};
constexpr int kBacklog = 1024;
// Use of old weights ends this long before the operator's limit, which counts
// from when the store accepted the new target.
constexpr Millis kWeightsMargin{1500};
}  // namespace

struct Traffic::Impl {
  Impl(runtime::Duty& duty,
       const coordination::Clock& clock,
       const GatewaySettings& settings,
       const CallerProtocol& callers,
       const ServerProtocol& servers,
       runtime::Metrics& metrics)
      : parts{duty.context(),
              clock,
              settings,
              callers,
              servers,
              metrics,
              ConnectionPool(duty.context(), clock, servers),
              coordination::RetryBudget(RetryLimits(settings, std::nullopt)),
              LoadBalancer(std::max(Millis(0),
                                    settings.weights_deadline - kWeightsMargin),
                           coordination::NewId().low),
              CrashWatch(duty.context(), clock, metrics),
              Quotas(metrics, settings.quota_tolerance),
              AdmissionGate(duty.context(), clock, metrics, settings.queue)},
        acceptor(duty.context()),
        uses(duty.context(),
             clock,
             parts.balancer,
             parts.crashes,
             parts.quotas.ledger(),
             settings.peers) {
    parts.on_usage_changed = [this] { uses.OnChange(); };
    parts.crashes.SetOnNews(parts.on_usage_changed);
    uses.SetOnNotice([this] { parts.gate.OnPeerNotice(); });
  }

  TrafficParts parts;
  const std::size_t max_connections = MaxConnections(parts.settings);
  runtime::Counter& refused_connections =
      parts.metrics.GetCounter("peridotgate_gateway_client_refusals_total",
                               {{"reason", "connections"}});
  tcp::acceptor acceptor;
  UsageExchange uses;

  // Nothing of a request was read, so it has not run.
  void RefuseConnection(tcp::socket socket) {
    constexpr std::string_view kRefusal =
        "HTTP/1.1 503 Service Unavailable\r\nConnection: close\r\n"
        "Content-Length: 0\r\n\r\n";
    beast::error_code ignored;
    socket.non_blocking(true, ignored);
    socket.write_some(asio::buffer(kRefusal.data(), kRefusal.size()), ignored);
    LogEvent("bad_request", LogClass::kNotable)
        .Add("status", 503)
        .Add("reason", "connections");
    refused_connections.Add();
  }

  asio::awaitable<void> Accept() {
    while (acceptor.is_open()) {
      auto [ec, socket] = co_await acceptor.async_accept(kNoThrow);
      if (ec == asio::error::operation_aborted) {
        co_return;
      }
      if (ec) {
        asio::steady_timer pause(parts.context, kAcceptPause);
        co_await pause.async_wait(kNoThrow);
        continue;
      }
      Serve(std::move(socket));
    }
  }

  // Whether a connection may be added, if need be in place of the one that has
  // been idle longest. A request that arrived there is still served.
  bool HasRoom() {
    if (parts.connections < max_connections) {
      return true;
    }
    if (parts.idle.empty()) {
      return false;
    }
    const auto longest = parts.idle.begin();
    longest->second->stream().cancel();
    parts.idle.erase(longest);
    return true;
  }

  void Serve(tcp::socket socket) {
    if (!HasRoom()) {
      RefuseConnection(std::move(socket));
      return;
    }
    ++parts.connections;
    auto caller = std::make_shared<CallerStream>(std::move(socket));
    asio::co_spawn(parts.context, ServeCaller(std::move(caller), parts),
                   [this](const std::exception_ptr&) { --parts.connections; });
  }

  // Closing the listening socket would reset the connections in its queue.
  void AcceptQueued() {
    beast::error_code ec;
    acceptor.non_blocking(true, ec);
    while (!ec) {
      tcp::socket socket(parts.context);
      acceptor.accept(socket, ec);
      if (!ec) {
        Serve(std::move(socket));
      }
    }
  }

  asio::awaitable<void> Prune() {
    asio::steady_timer timer(parts.context);
    while (true) {
      timer.expires_after(kPrunePeriod);
      co_await timer.async_wait(kNoThrow);
      if (parts.view.servers) {
        parts.pool.Prune(*parts.view.servers);
      }
    }
  }
};

Traffic::Traffic(runtime::Duty& duty,
                 const coordination::Clock& clock,
                 const GatewaySettings& settings,
                 const CallerProtocol& callers,
                 const ServerProtocol& servers,
                 runtime::Metrics& metrics)
    : impl_(std::make_shared<Impl>(duty,
                                   clock,
                                   settings,
                                   callers,
                                   servers,
                                   metrics)) {}

Traffic::~Traffic() = default;

bool Traffic::Listen(std::string& error) {
  Impl& it = *impl_;
  const runtime::Endpoint& at = it.parts.settings.callers;
  beast::error_code ec;
  const auto address = asio::ip::make_address(at.address, ec);
  if (!ec) {
    const tcp::endpoint endpoint(address, at.port);
    it.acceptor.open(endpoint.protocol(), ec);
    it.acceptor.set_option(tcp::acceptor::reuse_address(true), ec);
    it.acceptor.bind(endpoint, ec);
    if (!ec) {
      it.acceptor.listen(kBacklog, ec);
    }
  }
  if (ec) {
    error = runtime::ToString(at) + ": " + ec.message();
    return false;
  }
  if (!it.uses.Listen(error)) {
    return false;
  }
  asio::co_spawn(it.parts.context, it.Accept(), asio::detached);
  asio::co_spawn(it.parts.context, it.Prune(), asio::detached);
  return true;
}

void Traffic::OnView(FleetView view) {
  TrafficParts& parts = impl_->parts;
  if (view.peers && view.peers != parts.view.peers) {
    const std::size_t gateways = view.peers->size() + 1;
    parts.retries =
        coordination::RetryBudget(RetryLimits(parts.settings, gateways));
    parts.quotas.SetPeers(*view.peers, parts.clock.Now());
    std::vector<std::string> names;
    for (const runtime::Endpoint& it : *view.peers) {
      names.push_back(runtime::ToString(it));
    }
    parts.balancer.limits().SetPeers(names, parts.clock.Now());
    impl_->uses.SetPeers(*view.peers);
  }
  if (view.rules != parts.view.rules) {
    parts.quotas.OnRules(view.rules.get(), parts.clock.Now());
  }
  parts.view = std::move(view);
  parts.balancer.OnView(parts.view, parts.clock.Now());
}

void Traffic::SetOnNotice(
    std::function<void(const routing::ServerNotice&)> handler) {
  impl_->parts.on_notice = std::move(handler);
}

void Traffic::OnServerRequest(const routing::Incarnation& server) {
  TrafficParts& parts = impl_->parts;
  parts.balancer.limits().Charge(server, parts.clock.Now());
  parts.on_usage_changed();
}

void Traffic::OnNotice(const routing::ServerNotice& notice) {
  ApplyNotice(impl_->parts, notice);
}

void Traffic::OnCacheStore(const CacheStoreUpdate& update) {
  impl_->parts.balancer.OnCacheStore(update);
}

void Traffic::StopBy(TimePoint time) {
  impl_->parts.stop_by = time;
  impl_->parts.gate.Stop();
}

void Traffic::StopKeepAlive() {
  impl_->parts.keep_alive = false;
}

void Traffic::StopAccepting() {
  Impl& it = *impl_;
  beast::error_code ignored;
  it.AcceptQueued();
  it.acceptor.close(ignored);
  it.parts.accepting = false;
  for (const auto& [number, caller] : it.parts.idle) {
    caller->stream().cancel();
  }
}

void Traffic::EndRequests() {
  for (Exchange* it : impl_->parts.exchanges) {
    it->End();
  }
}

bool Traffic::drained() const {
  return !impl_->parts.accepting && impl_->parts.connections == 0;
}

std::size_t Traffic::open_requests() const {
  return impl_->parts.open_requests.load();
}

}  // namespace peridotgate::gateway
