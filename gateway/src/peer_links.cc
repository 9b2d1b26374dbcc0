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
#include "runtime/http.h"
#include "wire/codec.h"

namespace peridotgate::gateway {
namespace {

namespace http = runtime::http;

constexpr auto kNoThrow = asio::as_tuple(asio::use_awaitable);

constexpr std::string_view kGatewayTable = "gateways";
constexpr std::string_view kRolloutPath = "/rollout";
constexpr std::string_view kRowsPath = "/rows";
constexpr std::string_view kThrift = "application/vnd.apache.thrift.compact";
// How often a gateway renews its row, and reads those of the others.
constexpr Millis kPresencePeriod{15000};
// A first look at the others comes sooner, once all have started.
constexpr Millis kFirstLook{1500};
// A row that did not change for so long belongs to a gateway that is gone.
constexpr Millis kAbsence{40000};
constexpr Millis kPeerTimeout{400};
// A peer answers a question for rows this much after the time it may hold it.
constexpr Millis kRowsMargin{300};

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
    if (request.target() == kRowsPath && handlers.on_query) {
      co_await ServeRows(request, exchange);
      co_return;
    }
    runtime::HttpResponse response = Answer(request);
    co_await exchange.Send(std::move(response));
  }

  asio::awaitable<void> ServeRows(const runtime::HttpRequest& request,
                                  runtime::HttpExchange& exchange) {
    auto query = wire::DecodeStruct<wire::FeedQuery>(request.body());
    if (!query) {
      auto refusal = runtime::MakeResponse(http::status::bad_request, "");
      co_await exchange.Send(std::move(refusal));
      co_return;
    }
    const wire::FeedCopy copy =
        co_await handlers.on_query(std::move(query.value()));
    auto response = runtime::MakeResponse(http::status::ok,
                                          wire::EncodeStruct(copy), kThrift);
    co_await exchange.Send(std::move(response));
  }

  runtime::HttpResponse Answer(const runtime::HttpRequest& request) {
    if (request.target() != kRolloutPath) {
      return runtime::MakeResponse(http::status::not_found, "");
    }
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

  // Writes this gateway's row and reads the others'.
  asio::awaitable<void> KeepPresence() {
    asio::steady_timer timer(duty.context());
    std::int64_t renewals = 0;
    Millis pause = kFirstLook;
    while (true) {
      const std::string value = settings.data_centre + " " + incarnation + " " +
                                std::to_string(++renewals);
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
    std::vector<PeerGateway> live;
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
        live.push_back({*address, it.value.substr(0, it.value.find(' '))});
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

  asio::awaitable<std::optional<wire::FeedCopy>> AskRows(
      runtime::Endpoint address,
      wire::FeedQuery query) {
    // Held here, since the peer may be forgotten meanwhile.
    const auto client = PeerAt(address).client;
    const Millis timeout = Millis(query.wait_ms) + kRowsMargin;
    auto request = runtime::MakeRequest(http::verb::post, kRowsPath,
                                        wire::EncodeStruct(query), kThrift);
    auto answer = co_await client->Fetch(std::move(request), timeout);
    if (!answer || answer.value().result() != http::status::ok) {
      co_return std::nullopt;
    }
    auto copy = wire::DecodeStruct<wire::FeedCopy>(answer.value().body());
    if (!copy) {
      co_return std::nullopt;
    }
    co_return std::move(copy.value());
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
  std::vector<PeerGateway> seeds;
  for (const runtime::Endpoint& seed : it.settings.seeds) {
    if (!(seed == it.settings.peers)) {
      it.PeerAt(seed);
      seeds.push_back({seed, ""});
    }
  }
  it.handlers.on_peers(std::move(seeds));
  asio::co_spawn(it.duty.context(), it.KeepPresence(), asio::detached);
}

asio::awaitable<std::optional<wire::FeedCopy>> PeerLinks::AskRows(
    runtime::Endpoint peer,
    wire::FeedQuery query) {
  return contents_->AskRows(std::move(peer), std::move(query));
}

void PeerLinks::Notify(const RolloutMap& progress) {
  contents_->Notify(progress);
}

}  // namespace peridotgate::gateway
