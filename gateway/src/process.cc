#include "gateway/process.h"

#include <atomic>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <optional>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "gateway/cache_store_watch.h"
#include "gateway/follower.h"
#include "gateway/peer_links.h"
#include "gateway/rollout_leader.h"
#include "gateway/traffic.h"
#include "runtime/duty.h"
#include "runtime/event_log.h"
#include "runtime/http.h"
#include "runtime/operator_pages.h"

namespace peridotgate::gateway {
namespace {

using runtime::LogClass;
using runtime::LogEvent;

constexpr auto kNoThrow = asio::as_tuple(asio::use_awaitable);
constexpr std::size_t kViewCapacity = 64;
constexpr Millis kViewRetry{20};
constexpr Millis kDrainPoll{50};
constexpr Millis kEndPoll{10};
// The load balancer in front keeps sending connections until two readiness
// checks have failed, at one check a second.
constexpr Millis kBalancerGrace{2500};
// The process exits this long before it would be killed.
constexpr Millis kStopMargin{500};
// Time to answer the last requests and to release the lease of orders before
// the process exits.
constexpr Millis kEndTime{300};

class Process {
 public:
  Process(const GatewaySettings& settings, const Protocols& protocols)
      : settings_(settings),
        protocols_(protocols),
        traffic_duty_("traffic"),
        control_duty_("control"),
        store_(protocols.make_store(control_duty_.context(),
                                    settings.store,
                                    metrics_)),
        traffic_(traffic_duty_,
                 clock_,
                 settings_,
                 protocols.callers,
                 protocols.servers,
                 metrics_),
        views_(traffic_duty_,
               kViewCapacity,
               [this](FleetView&& it) { traffic_.OnView(std::move(it)); }),
        peers_(control_duty_, clock_, settings_, *store_, metrics_),
        rollout_leader_(
            control_duty_,
            settings_,
            *store_,
            protocols.servers,
            [this](const RolloutMap& it) {
              OnRollout(it);
              peers_.BroadcastProgress(it);
            },
            metrics_),
        cache_updates_(
            traffic_duty_,
            kViewCapacity,
            [this](CacheStoreUpdate&& it) { traffic_.OnCacheStore(it); }),
        cache_store_(control_duty_,
                     protocols.servers,
                     [this](CacheStoreUpdate update) {
                       return cache_updates_.TrySend(update);
                     }),
        follower_(
            control_duty_,
            clock_,
            settings_,
            *store_,
            protocols.format,
            [this](const FleetView& it) { Publish(it); },
            [this](runtime::Endpoint peer, wire::FeedQuery query) {
              return peers_.FetchRows(std::move(peer), std::move(query));
            },
            metrics_),
        readiness_(control_duty_.context(), {}, PageHandler(), metrics_),
        operators_(control_duty_.context(), {}, PageHandler(), metrics_),
        signals_(control_duty_.context(), SIGTERM, SIGINT),
        reload_(control_duty_.context(), SIGHUP) {}

  int Run() {
    std::string error;
    if (!traffic_.Listen(error) ||
        !readiness_.Listen(settings_.readiness, error) ||
        !peers_.Listen(error) ||
        !operators_.Listen(settings_.operators, error)) {
      std::fprintf(stderr, "listen: %s\n", error.c_str());
      return 1;
    }
    runtime::StartEventLog(settings_.instance, metrics_);
    const auto ready = [this](std::string_view) { return Readiness(); };
    pages_.Add("/readyz", ready);
    pages_.Add(protocols_.readiness_path, ready);
    follower_.Start();
    rollout_leader_.Start();
    PeerLinks::Handlers handlers;
    handlers.on_rollout = [this](const RolloutMap& it) {
      rollout_leader_.OnPeerLeader();
      OnRollout(it);
    };
    handlers.on_peers = [this](std::vector<PeerGateway> peers) {
      OnPeers(std::move(peers));
    };
    handlers.on_query = [this](wire::FeedQuery query) {
      return follower_.Answer(std::move(query));
    };
    peers_.Start(std::move(handlers));
    // Marks are few and must not be lost, so they don't pass a bounded ring.
    traffic_.SetOnNotice([this](const routing::ServerNotice& it) {
      asio::post(control_duty_.context(),
                 [this, it] { rollout_leader_.OnNotice(it); });
    });
    rollout_leader_.SetOnRequest([this](const routing::Incarnation& it) {
      asio::post(traffic_duty_.context(),
                 [this, it] { traffic_.OnServerRequest(it); });
    });
    rollout_leader_.SetOnNotice([this](const routing::ServerNotice& it) {
      asio::post(traffic_duty_.context(),
                 [this, it] { traffic_.OnNotice(it); });
    });
    asio::co_spawn(control_duty_.context(), WaitForStop(), asio::detached);
    asio::co_spawn(control_duty_.context(), WaitForReload(), asio::detached);
    LogEvent("started", LogClass::kNotable)
        .Add("data_centre", settings_.data_centre);
    traffic_duty_.Start();
    control_duty_.context().run();
    traffic_duty_.Stop();
    LogEvent("stopped", LogClass::kNotable)
        .Add("open_requests", traffic_.open_requests());
    if (!runtime::StopEventLog()) {
      // The output is not being read, so a normal exit would wait for its lock.
      std::_Exit(0);
    }
    return 0;
  }

 private:
  runtime::HttpHandler PageHandler() {
    return
        [this](runtime::HttpRequest request, runtime::HttpExchange& exchange) {
          return pages_.Serve(std::move(request), exchange);
        };
  }

  void Publish(const FleetView& view) {
    FleetView copy = view;
    rollout_leader_.OnView(view);
    cache_store_.OnView(view);
    has_view_ = view.rules && view.servers && !view.servers->empty();
    const bool retrying = unsent_view_.has_value();
    unsent_view_ = std::move(copy);
    if (!retrying) {
      SendView();
    }
  }

  // Sends the latest view, and again until the traffic thread has room for it.
  // A view that was lost would leave revoked keys and servers that left in use.
  void SendView() {
    if (views_.TrySend(*unsent_view_)) {
      unsent_view_.reset();
      return;
    }
    LogEvent("view_delayed", LogClass::kNotable).Add("why", "ring full");
    view_retry_.expires_after(kViewRetry);
    view_retry_.async_wait([this](const boost::system::error_code& ec) {
      if (!ec) {
        SendView();
      }
    });
  }

  void OnRollout(const RolloutMap& rollout) {
    follower_.state().OnRollout(rollout, clock_.Now());
    follower_.PublishChanges();
  }

  // Seeds are asked for rows, but do not count among the gateways that share
  // the retry budgets.
  void OnPeers(std::vector<PeerGateway> peers) {
    std::vector<runtime::Endpoint> addresses;
    bool registered = !settings_.seeds.empty() || !peers.empty();
    for (const PeerGateway& it : peers) {
      registered = registered && !it.data_centre.empty();
      addresses.push_back(it.address);
    }
    if (registered) {
      rollout_leader_.OnPeers(peers);
    }
    follower_.OnPeers(std::move(peers));
    if (registered) {
      follower_.state().OnPeers(std::move(addresses));
      follower_.PublishChanges();
    }
  }

  runtime::HttpResponse Readiness() const {
    const bool ready = has_view_ && !leaving_;
    return runtime::MakeResponse(
        ready ? http::status::ok : http::status::service_unavailable,
        ready ? "{\"ready\":true}" : "{\"ready\":false}");
  }

  asio::awaitable<void> Pause(Millis time) {
    asio::steady_timer timer(control_duty_.context(), time);
    co_await timer.async_wait(kNoThrow);
  }

  // Reports not ready at once, serves new requests until the load balancer has
  // noticed, lets open requests and a rollout that this gateway leads end
  // within the grace period, answers what is left, then stops.
  asio::awaitable<void> WaitForStop() {
    (void)co_await signals_.async_wait(kNoThrow);
    leaving_ = true;
    const auto grace = std::max(Millis(0), settings_.stop_within - kStopMargin);
    const auto deadline = clock_.Now() + grace;
    LogEvent("leaving", LogClass::kNotable).Add("why", "signal");
    rollout_leader_.Leave(std::max(Millis(0), grace - kEndTime));
    asio::post(traffic_duty_.context(), [this, deadline] {
      traffic_.StopBy(deadline);
      traffic_.StopKeepAlive();
    });
    co_await Pause(std::min(kBalancerGrace, grace));
    // An idle caller may reuse its connection at any time, and a late request
    // might not finish before the process is killed.
    asio::post(traffic_duty_.context(), [this] { traffic_.StopAccepting(); });
    do {
      co_await Pause(kDrainPoll);
    } while ((!traffic_.drained() || rollout_leader_.leading()) &&
             clock_.Now() < deadline);
    rollout_leader_.Leave(Millis(0));
    asio::post(traffic_duty_.context(), [this] { traffic_.EndRequests(); });
    const auto ends_by = clock_.Now() + kEndTime;
    while ((!rollout_leader_.ended() || traffic_.open_requests() > 0) &&
           clock_.Now() < ends_by) {
      co_await Pause(kEndPoll);
    }
    control_duty_.context().stop();
  }

  asio::awaitable<void> WaitForReload() {
    while (true) {
      auto [ec, signal] = co_await reload_.async_wait(kNoThrow);
      if (ec) {
        co_return;
      }
      // Addresses do not change while the process runs, so there is nothing to
      // reload.
      LogEvent("reload", LogClass::kNotable).Add("changed", false);
    }
  }

  GatewaySettings settings_;
  const Protocols& protocols_;
  coordination::SteadyClock clock_;
  runtime::Metrics metrics_;
  runtime::OperatorPages pages_{metrics_};
  runtime::Duty traffic_duty_;
  runtime::Duty control_duty_;
  std::unique_ptr<Store> store_;
  Traffic traffic_;
  runtime::Port<FleetView> views_;
  PeerLinks peers_;
  RolloutLeader rollout_leader_;
  runtime::Port<CacheStoreUpdate> cache_updates_;
  CacheStoreWatch cache_store_;
  Follower follower_;
  runtime::HttpServer readiness_;
  runtime::HttpServer operators_;
  asio::signal_set signals_;
  asio::signal_set reload_;
  std::optional<FleetView> unsent_view_;
  asio::steady_timer view_retry_{control_duty_.context()};
  bool has_view_ = false;
  bool leaving_ = false;
};

}  // namespace

int RunGateway(const GatewaySettings& settings, const Protocols& protocols) {
  Process process(settings, protocols);
  return process.Run();
}

}  // namespace peridotgate::gateway
