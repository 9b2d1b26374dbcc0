#include "gateway/rollout_leader.h"

#include <algorithm>
#include <map>
#include <optional>
#include <utility>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json.hpp>

#include "boot_clock.h"
#include "coordination/ids.h"
#include "coordination/lease.h"
#include "gateway/weights_rollout.h"
#include "runtime/event_log.h"
#include "runtime/http.h"
#include "server_notices.h"

namespace peridotgate::gateway {
namespace {

using coordination::Lease;
using coordination::LeaseAction;
using coordination::LeaseRecord;
using coordination::LeaseWrite;
using runtime::LogClass;
using runtime::LogEvent;

constexpr auto kNoThrow = asio::as_tuple(asio::use_awaitable);

constexpr std::string_view kLeaseTable = "gateway_leases";
constexpr std::string_view kLeaseKey = "orders";
// Period of the main loop.
constexpr Millis kStepPeriod{40};
// A healthy server answers a report request or an order within this time.
constexpr Millis kServerTimeout{250};
constexpr std::uint64_t kMaxReportBytes = 256 << 10;
// The holder renews the lease this often, and may act for somewhat longer after
// a renewal, so that one lost answer does not end its leadership.
constexpr Millis kRenewal{600};
constexpr Millis kTenure{1700};
constexpr Millis kReadPeriod{500};
// The first candidates read the lease this often while there is no work, so
// that they need not wait for all of its margin once there is. By the first
// time, a gateway that starts knows its peers.
constexpr Millis kIdleReadPeriod{5000};
constexpr Millis kFirstIdleRead{500};

// Only the first gateways in the order of duties request the lease as soon as
// there is work; all others wait until no rollout progress was received for a
// while, since each request is a call to the store.
constexpr std::size_t kEagerCandidates = 3;
constexpr Millis kLeaderSilence{2000};
// A gateway that is about to stop lets those that stay go first for this time.
// The less time it has left, the longer it waits, up to `kLeaderSilence`.
constexpr Millis kMinLeavingDelay{300};

// Keeps the orders of two lease holders at least `settings.lease` apart, plus
// the time that an order may be in transit.
coordination::LeaseOptions LeaseTimes(const GatewaySettings& settings) {
  coordination::LeaseOptions options;
  options.margin = settings.lease + kServerTimeout;
  options.length = options.margin + kTenure;
  options.renewal = kRenewal;
  options.read_period = kReadPeriod;
  return options;
}

std::string Format(const LeaseRecord& record) {
  boost::json::object object;
  object["holder"] = coordination::ToHex(record.holder);
  object["token"] = record.token;
  object["revision"] = record.revision;
  object["attempt"] = record.attempt;
  object["stored_ms"] = record.stored.count();
  object["era"] = record.era;
  return boost::json::serialize(object);
}

std::optional<LeaseRecord> Parse(const std::string& text) {
  boost::system::error_code ec;
  const boost::json::value value = boost::json::parse(text, ec);
  if (ec || !value.is_object()) {
    return std::nullopt;
  }
  const auto integer = [&](std::string_view name) -> std::int64_t {
    const auto* found = value.as_object().if_contains(name);
    return found != nullptr && found->is_int64() ? found->as_int64() : 0;
  };
  const auto* holder = value.as_object().if_contains("holder");
  LeaseRecord record;
  if (holder != nullptr && holder->is_string()) {
    record.holder = coordination::ParseId(std::string_view(holder->as_string()))
                        .value_or(record.holder);
  }
  record.token = integer("token");
  record.revision = integer("revision");
  record.attempt = integer("attempt");
  record.stored = Millis(integer("stored_ms"));
  record.era = integer("era");
  return record;
}

std::optional<coordination::StoreTime> TimeOf(std::optional<Millis> time,
                                              TimePoint asked) {
  if (!time) {
    return std::nullopt;
  }
  return coordination::StoreTime{*time, asked};
}

}  // namespace

struct RolloutLeader::Impl {
  Impl(runtime::Duty& duty,
       const GatewaySettings& settings,
       Store& store,
       const ServerProtocol& servers,
       Broadcast broadcast,
       runtime::Metrics& metrics)
      : duty(duty),
        settings(settings),
        store(store),
        servers(servers),
        broadcast(std::move(broadcast)),
        metrics(metrics),
        lease(LeaseTimes(settings), coordination::NewId()) {}

  runtime::Duty& duty;
  const GatewaySettings& settings;
  Store& store;
  const ServerProtocol& servers;
  Broadcast broadcast;
  runtime::Metrics& metrics;
  BootClock clock;
  Lease lease;
  StoreVersion row_version;
  WeightsRollout rollout;
  bool was_leader = false;
  bool reporting = false;  // Progress may have changed since the last report.
  std::size_t rank = 0;    // Number of gateways before this one.
  TimePoint next_idle_read = clock.Now() + kFirstIdleRead;
  // When progress of another leader was last received, or no work was left.
  TimePoint no_leader_since{};
  // Set while the process stops: its last moment as the leader, and the time
  // that it had from the start of the stop until then.
  std::optional<TimePoint> leaves_at;
  coordination::Duration leave_time{};
  bool ended = false;
  struct ServerClient {
    runtime::Endpoint address;
    std::shared_ptr<runtime::HttpClient> client;
  };
  std::map<std::string, ServerClient> clients;  // By the server's id.
  std::function<void(const routing::ServerNotice&)> on_notice;
  std::function<void(const routing::Incarnation&)> on_request;

  asio::awaitable<void> Run() {
    asio::steady_timer timer(duty.context());
    while (true) {
      timer.expires_after(kStepPeriod);
      co_await timer.async_wait(kNoThrow);
      HeedRestore();
      if (leaves_at && clock.Now() >= *leaves_at) {
        co_await ReleaseLease();
        ended = true;
        co_return;
      }
      if (!rollout.pending()) {
        no_leader_since = clock.Now();
        if (std::exchange(reporting, false)) {
          ReportProgress();  // The end of the last switch.
        }
        co_await ReadIdleLease();
        continue;
      }
      if (!MayContend()) {
        continue;
      }
      co_await KeepLease();
      const bool held = lease.token(clock.Now()).has_value();
      if (held != was_leader) {
        was_leader = held;
        LogEvent("order_lease", LogClass::kNotable)
            .Add("held", held)
            .Add("token", lease.token(clock.Now()).value_or(0));
        if (!held) {
          rollout.AbandonOrders();
        }
      }
      if (held) {
        StartPendingOrders();
      }
      if (held || reporting) {
        ReportProgress();
        reporting = held;
      }
    }
  }

  // After a restore of the store another gateway may get the lease.
  void HeedRestore() {
    const bool held = lease.token(clock.Now()).has_value();
    lease.OnEra(store.era());
    if (held && !lease.token(clock.Now())) {
      LogEvent("order_lease", LogClass::kNotable)
          .Add("held", false)
          .Add("why", "store restored")
          .Add("era", store.era());
    }
  }

  // Sends what changed since the last report. Called before an order is sent,
  // so that no gateway uses the server meanwhile, and else once per step, which
  // combines the ends of several switches.
  void ReportProgress() {
    const RolloutMap changes = rollout.TakeProgress(clock.Now());
    if (!changes.empty()) {
      broadcast(changes);
    }
  }

  // Whether this gateway holds the lease and still has orders to give.
  bool leading() const {
    return was_leader && rollout.pending() &&
           lease.token(clock.Now()).has_value();
  }

  // Keeps a large fleet from requesting the lease all at once.
  bool MayContend() const {
    const TimePoint now = clock.Now();
    if (lease.token(now) || (was_leader && !leaves_at)) {
      return true;
    }
    coordination::Duration delay =
        rank < kEagerCandidates ? Millis(0) : kLeaderSilence;
    if (leaves_at) {
      const double left =
          leave_time.count() == 0
              ? 0
              : static_cast<double>((*leaves_at - now).count()) /
                    static_cast<double>(leave_time.count());
      const auto wait = std::chrono::duration_cast<coordination::Duration>(
          (1 - left) * (kLeaderSilence - kMinLeavingDelay));
      delay = std::max(delay, kMinLeavingDelay + wait);
    }
    return now - no_leader_since >= delay;
  }

  asio::awaitable<void> ReadIdleLease() {
    const TimePoint now = clock.Now();
    if (rank >= kEagerCandidates || leaves_at || now < next_idle_read ||
        lease.NextRead(now) != LeaseAction::kRead) {
      co_return;
    }
    next_idle_read = now + kIdleReadPeriod;
    co_await ReadLease();
  }

  asio::awaitable<void> KeepLease() {
    switch (lease.Next(clock.Now())) {
      case LeaseAction::kNone:
        co_return;
      case LeaseAction::kRead:
        co_await ReadLease();
        co_return;
      case LeaseAction::kWrite:
        co_await WriteLease();
        co_return;
    }
  }

  asio::awaitable<void> ReadLease() {
    const TimePoint asked = clock.Now();
    std::string table(kLeaseTable);
    auto rows = co_await store.ReadAll(std::move(table));
    if (!rows) {
      lease.OnReadFailed(clock.Now());
      co_return;
    }
    lease.OnEra(store.era());
    std::optional<LeaseRecord> record;
    row_version = {};
    for (const StoredRow& it : rows.value().rows) {
      if (it.key == kLeaseKey) {
        record = Parse(it.value);
        row_version = it.version;
      }
    }
    lease.OnRead(record, clock.Now(), TimeOf(rows.value().time, asked),
                 row_version);
  }

  asio::awaitable<void> WriteLease() {
    std::string table(kLeaseTable);
    std::string key(kLeaseKey);
    std::string value = Format(lease.to_write());
    const TimePoint asked = clock.Now();
    auto written = co_await store.Write(std::move(table), std::move(key),
                                        std::move(value), row_version);
    lease.OnEra(store.era());
    if (written) {
      row_version = written.value().version;
      lease.OnWrite(LeaseWrite::kDone, clock.Now(),
                    TimeOf(written.value().time, asked), row_version);
      co_return;
    }
    switch (written.error()) {
      case StoreError::kConflict:
        lease.OnWrite(LeaseWrite::kConflict, clock.Now());
        co_return;
      default:
        // Even a rate-limited write is read back before it is assumed to have
        // had no effect.
        lease.OnWrite(LeaseWrite::kUnknown, clock.Now());
        co_return;
    }
  }

  asio::awaitable<void> ReleaseLease() {
    const auto released = lease.Release(clock.Now());
    if (!released) {
      co_return;
    }
    std::string table(kLeaseTable);
    std::string key(kLeaseKey);
    std::string value = Format(*released);
    auto written = co_await store.Write(std::move(table), std::move(key),
                                        std::move(value), row_version);
    LogEvent("order_lease", LogClass::kNotable)
        .Add("held", false)
        .Add("why", "leaving")
        .Add("released", static_cast<bool>(written));
  }

  void StartPendingOrders() {
    const TimePoint now = clock.Now();
    while (auto task = rollout.Next(now)) {
      asio::co_spawn(duty.context(), AdvanceServer(*std::move(task)),
                     asio::detached);
    }
  }

  std::shared_ptr<runtime::HttpClient> GetClient(const RolloutTask& task) {
    ServerClient& it = clients[task.server_id];
    if (!it.client || it.address != task.address) {
      it.address = task.address;
      it.client = std::make_shared<runtime::HttpClient>(
          duty.context(), task.address, kMaxReportBytes);
    }
    return it.client;
  }

  asio::awaitable<void> AdvanceServer(RolloutTask task) {
    // Keeps the client alive if the server is removed meanwhile.
    const auto client = GetClient(task);
    auto ask = servers.AskReport(task.server_id);
    OnRequest(task);
    auto answer = co_await client->Fetch(std::move(ask), kServerTimeout);
    std::optional<ServerReport> report;
    if (answer) {
      OnHead(task, answer.value().base());
    }
    if (answer && answer.value().result() == http::status::ok) {
      report = servers.ReadReport(answer.value().body());
    }
    if (!report) {
      rollout.OnReportFailed(task, clock.Now());
      co_return;
    }
    auto order = rollout.OnReport(task, *report, clock.Now());
    if (order) {
      ReportProgress();
      co_await SendOrder(*client, task, *std::move(order));
    }
  }

  void OnRequest(const RolloutTask& task) const {
    if (on_request) {
      on_request({task.server_id, task.born_ms});
    }
  }

  void OnHead(const RolloutTask& task, const ResponseHead& head) {
    // Only answers to callers' requests show that a limit has ended.
    const TimePoint sent_at{};
    const auto notice =
        ReadNotice({task.server_id, task.born_ms}, head, servers, sent_at);
    const bool changed = rollout.OnNotice(notice, clock.Now());
    if ((changed || notice.limit_per_s) && on_notice) {
      on_notice(notice);
    }
  }

  asio::awaitable<void> SendOrder(runtime::HttpClient& client,
                                  const RolloutTask& task,
                                  WeightsOrder order) {
    HeedRestore();
    const auto token = lease.token(clock.Now());
    if (!token) {
      rollout.OnReportFailed(task, clock.Now());
      co_return;
    }
    order.holder = settings.instance;
    order.token = *token;
    auto request = servers.MakeOrder(task.server_id, order);
    OnRequest(task);
    auto sent = co_await client.Fetch(std::move(request), kServerTimeout);
    std::optional<OrderAnswer> answer;
    if (sent) {
      OnHead(task, sent.value().base());
      answer = servers.ReadOrderAnswer(sent.value().result_int());
    }
    LogEvent("order_given", LogClass::kNotable)
        .Add("server", task.server_id)
        .Add("model", order.model)
        .Add("version", order.version)
        .Add("token", order.token)
        .Add("expected_orders", order.expected_orders)
        .Add("status", sent ? sent.value().result_int() : 0U);
    metrics.GetCounter("peridotgate_gateway_orders_total").Add();
    rollout.OnOrderAnswer(task, answer, clock.Now());
  }
};

RolloutLeader::RolloutLeader(runtime::Duty& duty,
                             const GatewaySettings& settings,
                             Store& store,
                             const ServerProtocol& servers,
                             Broadcast broadcast,
                             runtime::Metrics& metrics)
    : impl_(std::make_shared<Impl>(duty,
                                   settings,
                                   store,
                                   servers,
                                   std::move(broadcast),
                                   metrics)) {}

RolloutLeader::~RolloutLeader() = default;

void RolloutLeader::Start() {
  asio::co_spawn(impl_->duty.context(), impl_->Run(), asio::detached);
}

void RolloutLeader::Leave(Millis time) {
  impl_->leaves_at = impl_->clock.Now() + time;
  impl_->leave_time = time;
}

bool RolloutLeader::leading() const {
  return impl_->leading();
}

bool RolloutLeader::ended() const {
  return impl_->ended;
}

void RolloutLeader::OnPeerLeader() {
  impl_->no_leader_since = impl_->clock.Now();
}

void RolloutLeader::OnPeers(std::span<const PeerGateway> peers) {
  const GatewaySettings& settings = impl_->settings;
  const PeerGateway own{settings.peers, settings.data_centre,
                        settings.capacity};
  impl_->rank = static_cast<std::size_t>(std::count_if(
      peers.begin(), peers.end(),
      [&](const PeerGateway& it) { return TakesDutyBefore(it, own); }));
}

void RolloutLeader::SetOnNotice(
    std::function<void(const routing::ServerNotice&)> handler) {
  impl_->on_notice = std::move(handler);
}

void RolloutLeader::SetOnRequest(
    std::function<void(const routing::Incarnation&)> handler) {
  impl_->on_request = std::move(handler);
}

void RolloutLeader::OnNotice(const routing::ServerNotice& notice) {
  (void)impl_->rollout.OnNotice(notice, impl_->clock.Now());
}

void RolloutLeader::OnView(const FleetView& view) {
  impl_->rollout.OnView(view, impl_->clock.Now());
  if (view.servers) {
    std::erase_if(impl_->clients, [&](const auto& it) {
      return !view.servers->contains(it.first);
    });
  }
}

}  // namespace peridotgate::gateway
