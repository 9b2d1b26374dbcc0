#include "gateway/peer_links.h"

#include <algorithm>
#include <map>
#include <random>
#include <utility>
#include <vector>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "coordination/ids.h"
#include "runtime/event_log.h"
#include "runtime/http.h"
#include "wire/codec.h"

namespace peridotgate::gateway {
namespace {

namespace http = runtime::http;
using runtime::LogClass;
using runtime::LogEvent;

constexpr auto kNoThrow = asio::as_tuple(asio::use_awaitable);

constexpr std::string_view kGatewayTable = "gateways";
constexpr std::string_view kRolloutPath = "/rollout";
constexpr std::string_view kRulesPath = "/rules";
constexpr std::string_view kThrift = "application/vnd.apache.thrift.compact";
// How often a gateway renews its row, and reads those of the others.
constexpr Millis kPresencePeriod{8000};
// A first look at the others comes sooner, once all have started.
constexpr Millis kFirstLook{1500};
// A row that did not change for so long belongs to a gateway that is gone.
constexpr Millis kAbsence{25000};
// How often peers are asked for rules while the store can't be.
constexpr Millis kAskPeriod{300};
constexpr Millis kPeerTimeout{400};
// Peers asked at once.
constexpr std::size_t kAskedAtOnce = 2;

}  // namespace

struct PeerLinks::Contents {
  Contents(runtime::Duty& duty,
           const coordination::Clock& clock,
           const GatewaySettings& settings,
           Store& store,
           runtime::Metrics& metrics)
      : duty(duty),
        clock(clock),
        settings(settings),
        store(store),
        incarnation(coordination::ToHex(coordination::NewId())),
        server(
            duty.context(),
            {},
            [this](runtime::HttpRequest request,
                   runtime::HttpExchange& exchange) {
              return Serve(std::move(request), exchange);
            },
            metrics) {}

  struct Peer {
    std::shared_ptr<runtime::HttpClient> client;
    std::int64_t row_version = 0;
    TimePoint changed_at{};
  };

  runtime::Duty& duty;
  const coordination::Clock& clock;
  const GatewaySettings& settings;
  Store& store;
  std::string incarnation;
  Handlers handlers;
  std::map<std::string, Peer> peers;  // By address.
  std::size_t next_asked = 0;
  runtime::HttpServer server;

  std::string OwnAddress() const { return runtime::ToString(settings.peers); }

  Peer& PeerAt(const runtime::Endpoint& address) {
    Peer& peer = peers[runtime::ToString(address)];
    if (!peer.client) {
      peer.client =
          std::make_shared<runtime::HttpClient>(duty.context(), address);
    }
    return peer;
  }

  asio::awaitable<void> Serve(runtime::HttpRequest request,
                              runtime::HttpExchange& exchange) {
    runtime::HttpResponse response = Answer(request);
    co_await exchange.Send(std::move(response));
  }

  runtime::HttpResponse Answer(const runtime::HttpRequest& request) {
    if (request.target() == kRolloutPath) {
      auto notice = wire::DecodeStruct<wire::RolloutNotice>(request.body());
      if (!notice) {
        return runtime::MakeResponse(http::status::bad_request, "");
      }
      RolloutMap told;
      for (const wire::RolloutServer& it : notice.value().servers) {
        told[it.id] = {it.model, it.version, it.switching};
      }
      if (handlers.on_rollout) {
        handlers.on_rollout(told);
      }
      return runtime::MakeResponse(http::status::ok, "");
    }
    if (request.target() == kRulesPath && handlers.rules) {
      const FleetState& state = handlers.rules();
      wire::RulesCopy copy;
      copy.version = state.view().rules ? state.view().rules->version() : 0;
      copy.text = state.rules_text();
      return runtime::MakeResponse(http::status::ok, wire::EncodeStruct(copy),
                                   kThrift);
    }
    return runtime::MakeResponse(http::status::not_found, "");
  }

  // Writes this gateway's row and reads the others'.
  asio::awaitable<void> KeepPresence() {
    asio::steady_timer timer(duty.context());
    std::int64_t renewals = 0;
    Millis pause = kFirstLook;
    while (true) {
      const std::string value = incarnation + " " + std::to_string(++renewals);
      std::string table(kGatewayTable);
      std::string key = OwnAddress();
      auto written = co_await store.Write(std::move(table), std::move(key),
                                          value, std::nullopt);
      timer.expires_after(pause);
      co_await timer.async_wait(kNoThrow);
      std::string read_table(kGatewayTable);
      auto rows = co_await store.ReadAll(std::move(read_table));
      if (rows) {
        OnRows(rows.value());
      }
      // A row that may not have been written is written again soon.
      const bool settled = written && rows;
      pause = settled ? kPresencePeriod : kFirstLook;
      if (settled) {
        timer.expires_after(kPresencePeriod);
        co_await timer.async_wait(kNoThrow);
        pause = Millis(0);
      }
    }
  }

  void OnRows(const StoredRows& rows) {
    const TimePoint now = clock.Now();
    std::vector<runtime::Endpoint> live;
    for (const StoredRow& it : rows.rows) {
      const auto address = runtime::ParseEndpoint(it.key);
      if (!address || it.key == OwnAddress()) {
        continue;
      }
      Peer& peer = PeerAt(*address);
      if (peer.row_version != it.version) {
        peer.row_version = it.version;
        peer.changed_at = now;
      }
      if (now - peer.changed_at < kAbsence) {
        live.push_back(*address);
      }
    }
    std::erase_if(peers, [&](const auto& it) {
      return it.second.changed_at != TimePoint{} &&
             now - it.second.changed_at >= kAbsence;
    });
    handlers.on_peers(std::move(live));
  }

  void Notify(const RolloutMap& progress) {
    wire::RolloutNotice notice;
    notice.instance = settings.instance;
    for (const auto& [id, state] : progress) {
      wire::RolloutServer server;
      server.id = id;
      server.model = state.model;
      server.version = state.version;
      server.switching = state.switching;
      notice.servers.push_back(std::move(server));
    }
    const std::string body = wire::EncodeStruct(notice);
    for (const auto& [address, peer] : peers) {
      asio::co_spawn(duty.context(), SendNotice(peer.client, body),
                     asio::detached);
    }
  }

  // A notice that is lost is made good by the servers' own entries.
  static asio::awaitable<void> SendNotice(
      std::shared_ptr<runtime::HttpClient> client,
      std::string body) {
    auto request = runtime::MakeRequest(http::verb::post, kRolloutPath,
                                        std::move(body), kThrift);
    (void)co_await client->Fetch(std::move(request), kPeerTimeout);
  }

  asio::awaitable<void> AskForRules() {
    asio::steady_timer timer(duty.context());
    while (true) {
      timer.expires_after(kAskPeriod);
      co_await timer.async_wait(kNoThrow);
      if (!handlers.wants_rules() || peers.empty()) {
        continue;
      }
      for (std::size_t i = 0; i < std::min(kAskedAtOnce, peers.size()); ++i) {
        auto it =
            std::next(peers.begin(),
                      static_cast<std::ptrdiff_t>(next_asked++ % peers.size()));
        asio::co_spawn(duty.context(), AskPeer(it->first, it->second.client),
                       asio::detached);
      }
    }
  }

  asio::awaitable<void> AskPeer(std::string address,
                                std::shared_ptr<runtime::HttpClient> client) {
    auto request = runtime::MakeRequest(http::verb::get, kRulesPath);
    auto answer = co_await client->Fetch(std::move(request), kPeerTimeout);
    if (!answer || answer.value().result() != http::status::ok) {
      co_return;
    }
    auto copy = wire::DecodeStruct<wire::RulesCopy>(answer.value().body());
    const FleetState& state = handlers.rules();
    const std::int64_t own =
        state.view().rules ? state.view().rules->version() : 0;
    if (copy && copy.value().version > own) {
      LogEvent("rules_from_peer", LogClass::kNotable)
          .Add("peer", address)
          .Add("version", copy.value().version)
          .Add("before", own);
      handlers.on_rules(copy.value().text);
    }
  }
};

PeerLinks::PeerLinks(runtime::Duty& duty,
                     const coordination::Clock& clock,
                     const GatewaySettings& settings,
                     Store& store,
                     runtime::Metrics& metrics)
    : contents_(
          std::make_shared<Contents>(duty, clock, settings, store, metrics)) {}

PeerLinks::~PeerLinks() = default;

bool PeerLinks::Listen(std::string& error) {
  return contents_->server.Listen(contents_->settings.peers, error);
}

void PeerLinks::Start(Handlers handlers) {
  Contents& it = *contents_;
  it.handlers = std::move(handlers);
  for (const runtime::Endpoint& seed : it.settings.seeds) {
    if (!(seed == it.settings.peers)) {
      it.PeerAt(seed);
    }
  }
  asio::co_spawn(it.duty.context(), it.KeepPresence(), asio::detached);
  asio::co_spawn(it.duty.context(), it.AskForRules(), asio::detached);
}

void PeerLinks::Notify(const RolloutMap& progress) {
  contents_->Notify(progress);
}

}  // namespace peridotgate::gateway
