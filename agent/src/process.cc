#include "agent/process.h"

#include <csignal>

#include <spdlog/spdlog.h>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "agent/backend_driver.h"
#include "agent/claims.h"
#include "agent/core.h"
#include "agent/orders.h"
#include "control/node.h"
#include "lifecycle.h"
#include "peer_links.h"
#include "process_parts.h"
#include "runtime/duty.h"
#include "runtime/log.h"
#include "runtime/operator_pages.h"
#include "wire/link.h"

namespace peridotgate::agent {
namespace {

namespace asio = boost::asio;

constexpr std::size_t kChannelCapacity = 16384;
constexpr std::chrono::milliseconds kTickInterval{100};
constexpr int kTicksPerHalfSecond = 5;
// Ticks without work before a draining agent stops. By then the refused calls
// have been sent to other agents.
constexpr int kIdleTicksBeforeStop = 3;
constexpr std::chrono::milliseconds kTableTimeout{2000};

// Owns all parts of the agent and connects them.
class Process : public AgentOutputs {
 public:
  explicit Process(const AgentSettings& settings)
      : settings_(WithIncarnation(settings)),
        peers_("peers"),
        backend_("backend"),
        platform_("platform"),
        reports_(
            peers_,
            kChannelCapacity,
            [this](BackendReport&& it) { OnBackendReport(std::move(it)); }),
        answers_(peers_,
                 kChannelCapacity,
                 [this](ClaimAnswer&& it) { core_.OnClaimAnswer(it); }),
        core_(clock_, settings_.limits, *this, metrics_),
        driver_(backend_,
                settings.backend_server,
                settings.engine ? ServerKind::kEngine : ServerKind::kService,
                reports_,
                metrics_),
        commands_(
            backend_,
            kChannelCapacity,
            [this](BackendCommand&& it) { driver_.OnCommand(std::move(it)); }),
        table_(platform_.context(), settings.table, kTableTimeout),
        objects_(MakeObjectStore(platform_, settings)),
        claims_(platform_,
                table_,
                answers_,
                metrics_,
                MakeClaimSettings(settings.limits),
                objects_.get()),
        claim_commands_(
            platform_,
            kChannelCapacity,
            [this](PlatformCommand&& it) { claims_.OnCommand(std::move(it)); }),
        links_(
            metrics_,
            [this](LinkNumber from, wire::Message&& message) {
              OnMessage(from, std::move(message));
            },
            [this](LinkNumber closed) { core_.OnLinkClosed(closed); }),
        listener_(
            peers_.context(),
            metrics_,
            [this](const std::shared_ptr<wire::Link>& it) { links_.Add(it); }),
        datagrams_(
            peers_.context(),
            metrics_,
            [this](const asio::ip::udp::endpoint& peer,
                   wire::Message&& message) { OnDatagram(peer, message); }),
        node_(peers_.context(),
              clock_,
              MakeNodeSettings(settings),
              datagrams_,
              metrics_,
              {[] {}, [] {}, [this](bool it) { OnListedLeaving(it); },
               [this](const wire::ShareReport& it) {
                 core_.OnRemoteService(it);
               }}),
        lease_table_(peers_.context(), settings.table, kTableTimeout),
        orders_(peers_.context(),
                lease_table_,
                settings.backend_server,
                metrics_,
                [this](LinkNumber link, const wire::OrderResult& it) {
                  Reply(link, it);
                }),
        operators_(
            platform_.context(),
            {},
            [this](runtime::HttpRequest request,
                   runtime::HttpExchange& exchange) {
              return pages_.Serve(std::move(request), exchange);
            },
            metrics_),
        signals_(peers_.context(), SIGTERM, SIGINT) {}

  // AgentOutputs:
  void Reply(LinkNumber link, const wire::Message& message) override {
    links_.Send(link, message);
  }
  bool SendBackend(BackendCommand command) override {
    return commands_.TrySend(std::move(command));
  }
  bool SendPlatform(PlatformCommand command) override {
    return claim_commands_.TrySend(std::move(command));
  }

  int Run() {
    core_.FollowRules(node_.configuration());
    core_.FollowCrashes(node_.crashes());
    std::string error;
    if (!listener_.Listen(settings_.peers, error) ||
        !datagrams_.Listen(settings_.peers, error) ||
        !operators_.Listen(settings_.operators, error)) {
      spdlog::error("\"what\":\"listen\",\"reason\":\"{}\"", error);
      return 1;
    }
    if (settings_.engine) {
      driver_.FollowCacheEvents();
    }
    node_.Start();
    asio::co_spawn(peers_.context(), Tick(), asio::detached);
    asio::co_spawn(peers_.context(), WaitForSignal(), asio::detached);
    StepLifecycle("started", "started");
    platform_.Start();
    backend_.Start();
    peers_.context().run();
    backend_.Stop();
    platform_.Stop();
    return 0;
  }

 private:
  void OnMessage(LinkNumber from, wire::Message&& message) {
    if (auto* dispatch = std::get_if<wire::Dispatch>(&message)) {
      core_.OnDispatch(from, std::move(*dispatch));
    } else if (auto* cancel = std::get_if<wire::Cancel>(&message)) {
      core_.OnCancel(from, *cancel);
    } else if (auto* credit = std::get_if<wire::StreamCredit>(&message)) {
      core_.OnCredit(from, *credit);
    } else if (auto* attach = std::get_if<wire::Attach>(&message)) {
      core_.OnAttach(from, *attach);
    } else if (auto* order = std::get_if<wire::Order>(&message)) {
      orders_.OnOrder(from, std::move(*order));
    } else if (const auto* hello = std::get_if<wire::Hello>(&message)) {
      OnHello(from, *hello);
    } else {
      node_.OnLinkMessage(message);
    }
  }

  // Answers an entry that checks the link and the identity of its peer.
  void OnHello(LinkNumber from, const wire::Hello& asked) {
    if (!wire::AsksForAnswer(asked)) {
      return;
    }
    wire::Hello hello;
    hello.protocol = wire::kProtocol;
    hello.instance = settings_.limits.instance;
    hello.data_centre = settings_.data_centre;
    hello.incarnation = settings_.limits.incarnation;
    hello.config_version = node_.configuration().version();
    Reply(from, hello);
  }

  void OnDatagram(const asio::ip::udp::endpoint& peer,
                  const wire::Message& message) {
    if (const auto* probe = std::get_if<wire::ProbeRequest>(&message)) {
      datagrams_.SendTo(peer, core_.Probe(*probe));
    } else {
      node_.OnDatagram(peer, message);
    }
  }

  void OnBackendReport(BackendReport&& report) {
    if (auto* event = std::get_if<BackendEvent>(&report)) {
      core_.OnBackendEvent(std::move(*event));
      return;
    }
    const auto& cache_event = std::get<CacheEvent>(report);
    if (const auto* started = std::get_if<EngineStarted>(&cache_event)) {
      node_.SetWeightsVersion(started->weights_version);
    }
    core_.OnCacheEvent(cache_event);
  }

  asio::awaitable<void> Tick() {
    asio::steady_timer timer(peers_.context());
    for (std::int64_t ticks = 1;; ++ticks) {
      timer.expires_after(kTickInterval);
      co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
      core_.Tick();
      if (ticks % kTicksPerHalfSecond == 0) {
        node_.SetServed(core_.EndServicePeriod());
        links_.Tick(core_.AttachedLinks());
      }
    }
  }

  // Applies a lifecycle event, and accepts or refuses new work accordingly.
  void StepLifecycle(std::string_view event, std::string_view reason) {
    lifecycle_.Step(event, reason);
    lifecycle_.takes_work() ? core_.StopLeaving() : core_.StartLeaving();
  }

  void OnListedLeaving(bool leaving) {
    StepLifecycle(leaving ? "listed" : "unlisted", "listed");
  }

  // Whether all calls have ended, responses are sent and results are stored.
  bool Drained() const {
    return core_.idle() && claims_.pending() == 0 && links_.drained();
  }

  // On a signal, refuses new work, waits up to the shutdown grace for running
  // calls, and stops.
  asio::awaitable<void> WaitForSignal() {
    (void)co_await signals_.async_wait(asio::as_tuple(asio::use_awaitable));
    StepLifecycle("signal", "signal");
    node_.Leave();
    const auto deadline = clock_.Now() + settings_.shutdown_grace;
    asio::steady_timer timer(peers_.context());
    int idle_ticks = 0;
    while (idle_ticks < kIdleTicksBeforeStop && clock_.Now() < deadline) {
      timer.expires_after(kTickInterval);
      co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
      idle_ticks = Drained() ? idle_ticks + 1 : 0;
    }
    const bool drained = idle_ticks >= kIdleTicksBeforeStop;
    StepLifecycle(drained ? "drained" : "grace_over",
                  drained ? "drained" : "shutdown grace expired");
    peers_.context().stop();
  }

  AgentSettings settings_;
  coordination::SteadyClock clock_;
  runtime::Metrics metrics_;
  runtime::OperatorPages pages_{metrics_};
  runtime::Duty peers_;
  runtime::Duty backend_;
  runtime::Duty platform_;
  runtime::Port<BackendReport> reports_;
  runtime::Port<ClaimAnswer> answers_;
  Lifecycle lifecycle_;
  AgentCore core_;
  BackendDriver driver_;
  runtime::Port<BackendCommand> commands_;
  platform::HttpTable table_;
  std::unique_ptr<platform::ObjectStore> objects_;
  Claims claims_;
  runtime::Port<PlatformCommand> claim_commands_;
  PeerLinks links_;
  wire::LinkListener listener_;
  wire::DatagramSocket datagrams_;
  control::Node node_;
  platform::HttpTable lease_table_;
  Orders orders_;
  runtime::HttpServer operators_;
  asio::signal_set signals_;
};

}  // namespace

int RunAgent(const AgentSettings& settings) {
  Process process(settings);
  return process.Run();
}

}  // namespace peridotgate::agent
