#include "entry/process.h"

#include <algorithm>
#include <atomic>
#include <csignal>

#include <spdlog/spdlog.h>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json.hpp>

#include "entry/caller_server.h"
#include "entry/control.h"
#include "entry/router.h"
#include "runtime/log.h"
#include "runtime/operator_pages.h"

namespace peridotgate::entry {
namespace {

namespace http = runtime::http;

constexpr std::size_t kChannelCapacity = 65536;
constexpr std::size_t kViewCapacity = 16;
constexpr std::chrono::milliseconds kDrainPoll{50};
// Time to answer the last calls before the process exits.
constexpr std::chrono::milliseconds kEndTime{300};
constexpr std::chrono::milliseconds kEndPoll{10};
// Consecutive polls without an open request before a leaving entry stops. This
// leaves time to read requests that were in transit when the listener closed.
constexpr int kMinIdlePolls = 4;

// Owns all parts of the entry and connects them.
class Process {
 public:
  explicit Process(const EntrySettings& settings)
      : settings_(settings),
        callers_duty_("callers"),
        router_duty_("router"),
        control_duty_("control"),
        events_(callers_duty_,
                kChannelCapacity,
                [this](CallEvent&& it) { callers_.OnEvent(std::move(it)); }),
        newer_rules_(control_duty_,
                     kViewCapacity,
                     [this](NewerRules&& it) { control_.OnNewerRules(it); }),
        burn_(clock_, metrics_),
        router_(router_duty_, clock_, events_, newer_rules_, burn_, metrics_),
        commands_(
            router_duty_,
            kChannelCapacity,
            [this](RouterCommand&& it) { router_.OnCommand(std::move(it)); }),
        callers_(callers_duty_, settings, clock_, commands_, burn_, metrics_),
        callers_views_(callers_duty_,
                       kViewCapacity,
                       [this](ClusterView&& it) {
                         callers_.OnClusterView(std::move(it));
                       }),
        router_views_(router_duty_,
                      kViewCapacity,
                      [this](ClusterView&& it) { router_.OnClusterView(it); }),
        control_(
            control_duty_,
            clock_,
            settings,
            [this](const ClusterView& it) { Publish(it); },
            metrics_),
        operators_(
            control_duty_.context(),
            {},
            [this](runtime::HttpRequest request,
                   runtime::HttpExchange& exchange) {
              return pages_.Serve(std::move(request), exchange);
            },
            metrics_),
        signals_(control_duty_.context(), SIGTERM, SIGINT) {}

  int Run() {
    std::string error;
    if (!callers_.Listen(settings_.callers, error) ||
        !router_.Listen({settings_.peers.address, 0}, error) ||
        !control_.Listen(error) ||
        !operators_.Listen(settings_.operators, error)) {
      spdlog::error("\"what\":\"listen\",\"reason\":\"{}\"", error);
      return 1;
    }
    AddPages();
    control_.Start();
    asio::co_spawn(control_duty_.context(), WaitForSignal(), asio::detached);
    runtime::LogStateChange("entry", "serving", "started");
    callers_duty_.Start();
    router_duty_.Start();
    control_duty_.context().run();
    callers_duty_.Stop();
    router_duty_.Stop();
    runtime::LogStateChange("entry", "stopped", "drained");
    return 0;
  }

 private:
  void AddPages() {
    const auto json = [](std::string body) {
      return runtime::MakeResponse(http::status::ok, std::move(body));
    };
    pages_.Add("/readyz", [this](std::string_view) { return Readiness(); });
    pages_.Add("/members", [this, json](std::string_view) {
      return json(control_.MembersJson());
    });
    pages_.Add("/members/heard", [this, json](std::string_view) {
      return json(control_.HeardJson());
    });
    pages_.Add("/burn", [this](std::string_view) {
      return Burn(kDefaultBurnWindow.name);
    });
    pages_.Add("/burn/",
               [this](std::string_view window) { return Burn(window); });
    pages_.Add("/decisions", [this](std::string_view) {
      return runtime::MakeResponse(http::status::ok, router_.Samples(),
                                   "text/plain");
    });
    pages_.Add("/decisions/",
               [this](std::string_view id) { return Decision(id); });
  }

  // The burn counts over the window named `name`.
  runtime::HttpResponse Burn(std::string_view name) const {
    const BurnWindow* window = FindBurnWindow(name);
    if (window == nullptr) {
      return runtime::MakeResponse(http::status::not_found, "{}");
    }
    return runtime::MakeResponse(
        http::status::ok,
        burn_.ToJson(settings_.instance, control_.rules_version(), *window));
  }

  // The recorded server choices of one request, if still kept.
  runtime::HttpResponse Decision(std::string_view id) const {
    const auto request = coordination::ParseId(id);
    const std::string text = request ? router_.Explain(*request) : "";
    return runtime::MakeResponse(
        text.empty() ? http::status::not_found : http::status::ok, text,
        "text/plain");
  }

  void Publish(const ClusterView& view) {
    // Dropping a view when a channel is full is safe: the next view supersedes
    // it.
    ClusterView for_callers = view;
    ClusterView for_router = view;
    callers_views_.TrySend(std::move(for_callers));
    router_views_.TrySend(std::move(for_router));
  }

  runtime::HttpResponse Readiness() const {
    const bool ready = control_.ready() && !leaving_;
    boost::json::object body{{"ready", ready},
                             {"leaving", leaving_},
                             {"rules_version", control_.rules_version()}};
    return runtime::MakeResponse(
        ready ? http::status::ok : http::status::service_unavailable,
        boost::json::serialize(body));
  }

  asio::awaitable<void> Pause(std::chrono::milliseconds time) {
    asio::steady_timer timer(control_duty_.context(), time);
    co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
  }

  // Drains the entry: reports not ready but keeps accepting until the load
  // balancer has noticed, then waits for open requests for at most the shutdown
  // grace period, answers what is left, then stops.
  asio::awaitable<void> WaitForSignal() {
    (void)co_await signals_.async_wait(asio::as_tuple(asio::use_awaitable));
    leaving_ = true;
    control_.Leave();
    runtime::LogStateChange("entry", "leaving", "signal");
    asio::post(callers_duty_.context(),
               [this] { callers_.DisableKeepAlive(); });
    co_await Pause(settings_.readiness_grace);
    const auto end = clock_.Now() + settings_.shutdown_grace;
    const auto deadline = end - std::min(kEndTime, settings_.shutdown_grace);
    asio::post(callers_duty_.context(),
               [this, deadline] { callers_.StopAccepting(deadline); });
    int idle_polls = 0;
    while (idle_polls < kMinIdlePolls && clock_.Now() < deadline) {
      co_await Pause(kDrainPoll);
      idle_polls = callers_.open_requests() == 0 ? idle_polls + 1 : 0;
    }
    asio::post(callers_duty_.context(), [this] { callers_.EndCalls(); });
    while (callers_.open_requests() > 0 && clock_.Now() < end) {
      co_await Pause(kEndPoll);
    }
    control_duty_.context().stop();
  }

  EntrySettings settings_;
  coordination::SteadyClock clock_;
  runtime::Metrics metrics_;
  runtime::OperatorPages pages_{metrics_};
  runtime::Duty callers_duty_;
  runtime::Duty router_duty_;
  runtime::Duty control_duty_;
  runtime::Port<CallEvent> events_;
  runtime::Port<NewerRules> newer_rules_;
  BurnLog burn_;
  Router router_;
  runtime::Port<RouterCommand> commands_;
  CallerServer callers_;
  runtime::Port<ClusterView> callers_views_;
  runtime::Port<ClusterView> router_views_;
  Control control_;
  runtime::HttpServer operators_;
  asio::signal_set signals_;
  bool leaving_ = false;
};

}  // namespace

int RunEntry(const EntrySettings& settings) {
  Process process(settings);
  return process.Run();
}

}  // namespace peridotgate::entry
