#include "gateway/peer_links.h"

#include <algorithm>
#include <map>
#include <random>
#include <sstream>
#include <utility>
#include <vector>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "coordination/ids.h"
#include "runtime/gzip.h"
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
// How often a gateway renews its row and reads those of its peers.
constexpr Millis kPresencePeriod{15000};
// The shorter period at start, to find the peers soon after all have started,
// and after a failed call.
constexpr Millis kShortPresencePeriod{1500};
// A gateway whose row did not change for this long is considered dead.
constexpr Millis kPresenceTimeout{40000};
constexpr Millis kPeerTimeout{400};
// How much longer than its hold time a query for rows may take to its first
// byte, and the longest time between bytes.
constexpr Millis kRowsMargin{300};
// A copy that takes longer than a change may take is read from the store.
constexpr Millis kRowsTimeout{2000};
// Larger answers are compressed: when many gateways start at once, each gets
// the rows of all servers.
constexpr std::size_t kMinCompressedBytes = 16 << 10;
constexpr std::string_view kGzip = "gzip";

// A registration is "DATA_CENTRE INCARNATION RENEWALS CAPACITY"; rows of
// earlier versions end before the capacity.
PeerGateway ParseRegistration(const runtime::Endpoint& address,
                              const std::string& value) {
  std::istringstream fields(value);
  PeerGateway peer;
  peer.address = address;
  std::string incarnation;
  std::int64_t renewals = 0;
  fields >> peer.data_centre >> incarnation >> renewals;
  if (!(fields >> peer.capacity)) {
    peer.capacity = 0;
  }
  return peer;
}

}  // namespace

struct PeerLinks::Impl {
  Impl(runtime::Duty& duty,
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
    StoreVersion row_version;
    PeerGateway registered;
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

  Peer& GetPeer(const runtime::Endpoint& address) {
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
    std::string body = wire::EncodeStruct(copy);
    const bool compressed =
        body.size() >= kMinCompressedBytes &&
        runtime::AcceptsGzip(request[http::field::accept_encoding]);
    if (compressed) {
      body = runtime::Gzip(body);
    }
    auto response =
        runtime::MakeResponse(http::status::ok, std::move(body), kThrift);
    if (compressed) {
      response.set(http::field::content_encoding, kGzip);
    }
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
    RolloutMap reported;
    for (const wire::RolloutServer& it : notice.value().servers) {
      reported[it.id] = {it.model, it.version, it.switching};
    }
    if (handlers.on_rollout) {
      handlers.on_rollout(reported);
    }
    return runtime::MakeResponse(http::status::ok, "");
  }

  // Writes this gateway's row and reads those of its peers.
  asio::awaitable<void> MaintainRegistration() {
    asio::steady_timer timer(duty.context());
    std::int64_t renewals = 0;
    // After a restart the peers are known from their earlier rows. An empty
    // table says nothing: all gateways may be starting.
    std::string first_table(kGatewayTable);
    const auto first_rows = co_await store.ReadAll(std::move(first_table));
    if (first_rows && !first_rows.value().rows.empty()) {
      OnRows(first_rows.value());
    }
    Millis pause = kShortPresencePeriod;
    while (true) {
      const std::string value = settings.data_centre + " " + incarnation + " " +
                                std::to_string(++renewals) + " " +
                                std::to_string(settings.capacity);
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
      // Retries soon if the row may not have been written.
      const bool succeeded = written && rows;
      pause = succeeded ? kPresencePeriod : kShortPresencePeriod;
      if (succeeded) {
        co_await WaitForRenewal(timer);
        pause = Millis(0);
      }
    }
  }

  // Waits until the row must be renewed, or written again after a restore.
  asio::awaitable<void> WaitForRenewal(asio::steady_timer& timer) {
    const std::int64_t era = store.era();
    const TimePoint end = clock.Now() + kPresencePeriod;
    while (clock.Now() < end && store.era() == era) {
      timer.expires_after(kShortPresencePeriod);
      co_await timer.async_wait(kNoThrow);
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
      Peer& peer = GetPeer(*address);
      if (peer.row_version != it.version) {
        peer.row_version = it.version;
        peer.changed_at = now;
      }
      peer.registered = ParseRegistration(*address, it.value);
      if (now - peer.changed_at < kPresenceTimeout) {
        live.push_back(peer.registered);
      }
    }
    // A restore of the store may have lost rows, which are written again.
    for (const auto& [address, peer] : peers) {
      const bool lost = peer.row_version.number != 0 &&
                        peer.row_version.era < rows.version.era;
      if (lost && now - peer.changed_at < kPresenceTimeout) {
        live.push_back(peer.registered);
      }
    }
    std::erase_if(peers, [&](const auto& it) {
      return it.second.changed_at != TimePoint{} &&
             now - it.second.changed_at >= kPresenceTimeout;
    });
    handlers.on_peers(std::move(live));
  }

  void BroadcastProgress(const RolloutMap& progress) {
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

  // Sends without retries: the servers' own rows make up for a lost notice.
  static asio::awaitable<void> SendNotice(
      std::shared_ptr<runtime::HttpClient> client,
      std::string body) {
    auto request = runtime::MakeRequest(http::verb::post, kRolloutPath,
                                        std::move(body), kThrift);
    (void)co_await client->Fetch(std::move(request), kPeerTimeout);
  }

  asio::awaitable<std::optional<wire::FeedCopy>> FetchRows(
      runtime::Endpoint address,
      wire::FeedQuery query) {
    // Keeps the client alive if the peer is removed meanwhile.
    const auto client = GetPeer(address).client;
    const runtime::TransferLimits limits{Millis(query.wait_ms) + kRowsMargin,
                                         kRowsMargin, kRowsTimeout};
    auto request = runtime::MakeRequest(http::verb::post, kRowsPath,
                                        wire::EncodeStruct(query), kThrift);
    request.set(http::field::accept_encoding, kGzip);
    auto answer = co_await client->Fetch(std::move(request), limits);
    if (!answer || answer.value().result() != http::status::ok) {
      co_return std::nullopt;
    }
    std::string body = std::move(answer.value().body());
    if (answer.value()[http::field::content_encoding] == kGzip) {
      auto text = runtime::Gunzip(body, wire::kMaxMessageBytes);
      if (!text) {
        co_return std::nullopt;
      }
      body = std::move(*text);
    }
    auto copy = wire::DecodeStruct<wire::FeedCopy>(body);
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
    : impl_(std::make_shared<Impl>(duty, clock, settings, store, metrics)) {}

PeerLinks::~PeerLinks() = default;

bool PeerLinks::Listen(std::string& error) {
  return impl_->server.Listen(impl_->settings.peers, error);
}

void PeerLinks::Start(Handlers handlers) {
  Impl& it = *impl_;
  it.handlers = std::move(handlers);
  std::vector<PeerGateway> seeds;
  for (const runtime::Endpoint& seed : it.settings.seeds) {
    if (!(seed == it.settings.peers)) {
      it.GetPeer(seed);
      seeds.push_back({seed, "", 0});
    }
  }
  it.handlers.on_peers(std::move(seeds));
  asio::co_spawn(it.duty.context(), it.MaintainRegistration(), asio::detached);
}

asio::awaitable<std::optional<wire::FeedCopy>> PeerLinks::FetchRows(
    runtime::Endpoint peer,
    wire::FeedQuery query) {
  return impl_->FetchRows(std::move(peer), std::move(query));
}

void PeerLinks::BroadcastProgress(const RolloutMap& progress) {
  impl_->BroadcastProgress(progress);
}

}  // namespace peridotgate::gateway
