#include "gateway/follower.h"

#include <algorithm>
#include <set>
#include <string>
#include <utility>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "gateway/row_table.h"
#include "runtime/event_log.h"

namespace peridotgate::gateway {
namespace {

using runtime::LogClass;
using runtime::LogEvent;

constexpr auto kNoThrow = asio::as_tuple(asio::use_awaitable);

// How long the store may hold a question about changes. A connection that
// fell silent is noticed soon after it. The servers' table is also the proof of
// the path to the store, within `FeedPlan::kFresh`.
constexpr Millis kServersWait{700};
constexpr Millis kOperatorWait{2000};
// After an answer with changed servers: what changes meanwhile, as in a
// roll-out of weights, comes in one answer.
constexpr Millis kGather{250};
// Between two tries while the store does not answer; doubled up to the second.
constexpr Millis kRetryPause{150};
constexpr Millis kMostRetryPause{600};
// How long a peer may hold a question.
constexpr Millis kPeerWait{400};
// Until the source of rows is chosen again.
constexpr Millis kPlanPause{100};
constexpr Millis kExpiryPeriod{250};

}  // namespace

std::string_view Name(StoreError error) {
  switch (error) {
    case StoreError::kUnavailable:
      return "unavailable";
    case StoreError::kUnknown:
      return "unknown";
    case StoreError::kConflict:
      return "conflict";
    case StoreError::kThrottled:
      return "throttled";
    case StoreError::kHistoryGone:
      return "history_gone";
    case StoreError::kMalformed:
      return "malformed";
  }
  return "unknown";
}

struct Follower::Contents {
  Contents(runtime::Duty& duty,
           const coordination::Clock& clock,
           const GatewaySettings& settings,
           Store& store,
           const FleetFormat& format,
           Publish publish,
           AskPeer ask,
           runtime::Metrics& metrics)
      : duty(duty),
        clock(clock),
        store(store),
        format(format),
        state(format),
        plan(settings.peers, settings.data_centre),
        publish(std::move(publish)),
        ask(std::move(ask)),
        metrics(metrics) {}

  // One table that is followed.
  struct Table {
    std::string name;
    bool servers = false;
    Millis wait{0};     // How long the store may hold a question.
    bool whole = true;  // The next read is of all rows.
    bool lost = false;
    Millis pause = kRetryPause;  // After the next failure.
    RowTable rows = {};
  };

  runtime::Duty& duty;
  const coordination::Clock& clock;
  Store& store;
  const FleetFormat& format;
  FleetState state;
  FeedPlan plan;
  Publish publish;
  AskPeer ask;
  runtime::Metrics& metrics;
  Table rules{.name = {}, .servers = false, .wait = kOperatorWait};
  Table servers{.name = {}, .servers = true, .wait = kServersWait};
  std::string source;                     // Of rows, as it was logged last.
  std::set<asio::steady_timer*> waiting;  // Peers' questions that are held.

  asio::awaitable<void> Pause(Millis time) {
    asio::steady_timer timer(duty.context(), time);
    co_await timer.async_wait(kNoThrow);
  }

  asio::awaitable<void> FollowStore(Table& table) {
    while (true) {
      if (!plan.ReadsStore(clock.Now())) {
        co_await Pause(kPlanPause);
        continue;
      }
      const bool whole = table.whole;
      auto rows = co_await Read(table);
      if (rows) {
        OnStoreRows(table, rows.value(), whole);
        if (table.servers && !rows.value().rows.empty()) {
          co_await Pause(kGather);
        }
        continue;
      }
      OnError(table, rows.error());
      co_await Pause(table.pause);
      table.pause = std::min(2 * table.pause, kMostRetryPause);
    }
  }

  asio::awaitable<Result<StoredRows, StoreError>> Read(const Table& table) {
    if (table.whole) {
      return store.ReadAll(table.name);
    }
    return store.Follow(table.name, table.rows.version(), table.wait);
  }

  void OnStoreRows(Table& table, const StoredRows& rows, bool whole) {
    plan.OnStore(true, clock.Now());
    table.pause = kRetryPause;
    if (table.lost) {
      table.lost = false;
      LogEvent("store_regained", LogClass::kNotable)
          .Add("table", table.name)
          .Add("version", rows.version);
    }
    LogSource("store");
    OnRows(table, rows, whole);
  }

  void OnRows(Table& table, const StoredRows& rows, bool whole) {
    // An answer that was overtaken says nothing new.
    if (!table.rows.Apply(rows, whole)) {
      return;
    }
    const TimePoint now = clock.Now();
    if (table.servers) {
      state.OnServerRows(rows, whole, now);
    } else {
      state.OnOperatorRows(rows, now);
    }
    table.whole = false;
    PublishChanges();
    if (!rows.rows.empty()) {
      for (asio::steady_timer* it : waiting) {
        it->cancel();
      }
    }
  }

  void LogSource(const std::string& from) {
    if (source != from) {
      LogEvent("rows_source", LogClass::kNotable)
          .Add("source", from)
          .Add("before", source);
      source = from;
    }
  }

  void OnError(Table& table, StoreError error) {
    metrics
        .GetCounter("peridotgate_gateway_store_errors_total",
                    {{"error", Name(error)}})
        .Add();
    if (error == StoreError::kHistoryGone) {
      table.whole = true;
      LogEvent("store_history_gone", LogClass::kNotable)
          .Add("table", table.name)
          .Add("version", table.rows.version());
      return;
    }
    plan.OnStore(false, clock.Now());
    state.OnStoreLost(clock.Now());
    if (!table.lost) {
      table.lost = true;
      LogEvent("store_lost", LogClass::kNotable)
          .Add("table", table.name)
          .Add("version", table.rows.version())
          .Add("error", Name(error));
    }
  }

  asio::awaitable<void> FollowPeers() {
    while (true) {
      const auto peer = plan.PeerToAsk(clock.Now());
      if (!peer) {
        co_await Pause(kPlanPause);
        continue;
      }
      const bool fresh = co_await FollowPeer(*peer);
      if (!fresh) {
        co_await Pause(kPlanPause);
      }
    }
  }

  // Whether the peer's rows are as new as those that the store gives.
  asio::awaitable<bool> FollowPeer(runtime::Endpoint peer) {
    wire::FeedQuery query;
    query.wait_ms = kPeerWait.count();
    for (const Table* it : {&rules, &servers}) {
      wire::TableMark mark;
      mark.name = it->name;
      mark.version = it->rows.version();
      query.tables.push_back(std::move(mark));
    }
    const auto copy = co_await ask(peer, std::move(query));
    std::optional<coordination::Duration> age;
    if (copy && copy->age_ms >= 0) {
      age = Millis(copy->age_ms);
    }
    const bool fresh = plan.OnPeer(peer, age, clock.Now());
    metrics
        .GetCounter("peridotgate_gateway_peer_rows_total",
                    {{"outcome", fresh ? "fresh"
                                 : age ? "stale"
                                       : "none"}})
        .Add();
    if (fresh) {
      LogSource(runtime::ToString(peer));
    }
    if (copy) {
      TakeCopy(*copy);
    }
    co_return fresh;
  }

  void TakeCopy(const wire::FeedCopy& copy) {
    for (const wire::TableCopy& told : copy.tables) {
      Table* table = told.name == rules.name     ? &rules
                     : told.name == servers.name ? &servers
                                                 : nullptr;
      if (table == nullptr || told.version == 0) {
        continue;
      }
      StoredRows rows;
      rows.version = told.version;
      for (const wire::RowCopy& it : told.rows) {
        rows.rows.push_back({it.key, it.value, it.version, it.removed});
      }
      OnRows(*table, rows, told.whole);
    }
  }

  const Table* Named(const std::string& name) const {
    return name == rules.name     ? &rules
           : name == servers.name ? &servers
                                  : nullptr;
  }

  bool HasNewsFor(const wire::FeedQuery& query) const {
    for (const wire::TableMark& mark : query.tables) {
      const Table* table = Named(mark.name);
      if (table == nullptr) {
        continue;
      }
      const auto changes = table->rows.After(mark.version);
      if (!changes || !changes->rows.empty()) {
        return true;
      }
    }
    return false;
  }

  asio::awaitable<wire::FeedCopy> Answer(wire::FeedQuery query) {
    const Millis wait(std::clamp<std::int64_t>(query.wait_ms, 0, 1000));
    if (!HasNewsFor(query)) {
      asio::steady_timer timer(duty.context(), wait);
      waiting.insert(&timer);
      co_await timer.async_wait(kNoThrow);
      waiting.erase(&timer);
    }
    wire::FeedCopy copy;
    const auto age = plan.Age(clock.Now());
    copy.age_ms = age ? std::chrono::ceil<Millis>(*age).count() : -1;
    for (const wire::TableMark& mark : query.tables) {
      if (const Table* table = Named(mark.name)) {
        copy.tables.push_back(Copy(*table, mark.version));
      }
    }
    co_return copy;
  }

  static wire::TableCopy Copy(const Table& table, std::int64_t after) {
    const auto changes = after == 0 ? std::nullopt : table.rows.After(after);
    const StoredRows rows = changes ? *changes : table.rows.All();
    wire::TableCopy copy;
    copy.name = table.name;
    copy.version = rows.version;
    copy.whole = !changes;
    for (const StoredRow& it : rows.rows) {
      wire::RowCopy row;
      row.key = it.key;
      row.value = it.value;
      row.version = it.version;
      row.removed = it.removed;
      copy.rows.push_back(std::move(row));
    }
    return copy;
  }

  void PublishChanges() {
    for (const RowFault& it : state.TakeFaults()) {
      LogEvent("row_unreadable", LogClass::kNotable)
          .Add("key", it.key)
          .Add("reason", it.reason);
    }
    if (!state.TakeChanged()) {
      return;
    }
    const FleetView& view = state.view();
    LogEvent event("view_changed", LogClass::kNotable);
    event.Add("rules", view.rules ? view.rules->version() : 0)
        .Add("servers", view.servers->size());
    for (const auto& [model, version] : *view.weights) {
      event.Add("weights_" + model, version);
    }
    for (const auto& [id, server] : *view.servers) {
      std::string text = server.service + (server.leaving ? " leaving" : "");
      for (const auto& [model, version] : server.weights) {
        text += " w" + std::to_string(version);
      }
      event.Add(id, text);
    }
    publish(view);
  }

  asio::awaitable<void> ExpireMissing() {
    asio::steady_timer timer(duty.context());
    while (true) {
      timer.expires_after(kExpiryPeriod);
      co_await timer.async_wait(kNoThrow);
      state.Expire(clock.Now());
      PublishChanges();
    }
  }
};

Follower::Follower(runtime::Duty& duty,
                   const coordination::Clock& clock,
                   const GatewaySettings& settings,
                   Store& store,
                   const FleetFormat& format,
                   Publish publish,
                   AskPeer ask,
                   runtime::Metrics& metrics)
    : contents_(std::make_shared<Contents>(duty,
                                           clock,
                                           settings,
                                           store,
                                           format,
                                           std::move(publish),
                                           std::move(ask),
                                           metrics)) {}

Follower::~Follower() = default;

void Follower::Start() {
  Contents& it = *contents_;
  it.rules.name = it.format.operator_table();
  it.servers.name = it.format.server_table();
  asio::co_spawn(it.duty.context(), it.FollowStore(it.rules), asio::detached);
  asio::co_spawn(it.duty.context(), it.FollowStore(it.servers), asio::detached);
  asio::co_spawn(it.duty.context(), it.FollowPeers(), asio::detached);
  asio::co_spawn(it.duty.context(), it.ExpireMissing(), asio::detached);
}

FleetState& Follower::state() {
  return contents_->state;
}

void Follower::PublishChanges() {
  contents_->PublishChanges();
}

void Follower::OnPeers(std::vector<PeerGateway> peers) {
  contents_->plan.OnPeers(std::move(peers));
}

asio::awaitable<wire::FeedCopy> Follower::Answer(wire::FeedQuery query) {
  return contents_->Answer(std::move(query));
}

}  // namespace peridotgate::gateway
