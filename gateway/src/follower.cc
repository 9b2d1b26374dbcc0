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
#include "row_patch.h"
#include "runtime/event_log.h"

namespace peridotgate::gateway {
namespace {

using runtime::LogClass;
using runtime::LogEvent;

constexpr auto kNoThrow = asio::as_tuple(asio::use_awaitable);

// How long the store may hold a request for changes. Each answer confirms the
// rows of its table, within `FeedPlan::kFresh`.
constexpr Millis kFeedWait{700};
// Delay after an answer with changed servers, so that changes in close
// succession, as in a rollout, come in one answer.
constexpr Millis kBatchDelay{250};
// Delay between retries while the store does not answer; doubled up to the
// maximum.
constexpr Millis kRetryPause{150};
constexpr Millis kMaxRetryPause{600};
// How long a peer may hold a query.
constexpr Millis kPeerWait{400};
// Interval for checking again whether to read the store or a peer.
constexpr Millis kSourcePollPeriod{100};
// Delay between probes of peers, which go on while nobody reads the store.
constexpr Millis kProbePause{20};
constexpr Millis kExpiryPeriod{250};
// A later confirmation of the rows than this is told to followers at once, so
// that waits do not add up along a chain of gateways.
constexpr Millis kConfirmationStep{100};
// Rows of this size or more are logged when they arrive.
constexpr std::size_t kLargeRowBytes = 64 << 10;

std::size_t ValueBytes(const StoredRows& rows) {
  std::size_t n = 0;
  for (const StoredRow& it : rows.rows) {
    n += it.value.size();
  }
  return n;
}

}  // namespace

void Store::LearnEra(std::int64_t era) {
  era_ = std::max(era_, era);
}

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

struct Follower::Impl {
  Impl(runtime::Duty& duty,
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
        plan({settings.peers, settings.data_centre, settings.capacity}),
        publish(std::move(publish)),
        ask(std::move(ask)),
        metrics(metrics) {}

  // State of one table that is followed.
  struct Table {
    std::string name;
    Feed feed = Feed::kRules;
    bool whole = true;  // The next read fetches all rows.
    bool lost = false;
    Millis pause = kRetryPause;  // Delay after the next failure.
    RowTable rows = {};
    RowPatches patches = {};
    // A patch did not fit, so that the next copy must not need a base.
    bool without_base = false;
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
  Table rules{.name = {}, .feed = Feed::kRules};
  Table servers{.name = {}, .feed = Feed::kServers};
  std::string source;  // Last logged source of rows.
  // Queries of peers that wait for changes.
  std::set<asio::steady_timer*> held_queries;
  TimePoint announced{};  // The confirmation that followers were told last.

  asio::awaitable<void> Pause(Millis time) {
    asio::steady_timer timer(duty.context(), time);
    co_await timer.async_wait(kNoThrow);
  }

  asio::awaitable<void> FollowStore(Table& table) {
    while (true) {
      if (!plan.ReadsStore(clock.Now())) {
        co_await Pause(kSourcePollPeriod);
        continue;
      }
      const bool whole = table.whole;
      const TimePoint started = clock.Now();
      auto rows = co_await Read(table);
      LogTransfer("store", table, rows ? &rows.value() : nullptr, started);
      if (rows && OnStoreRows(table, rows.value(), whole)) {
        table.pause = kRetryPause;
        if (table.feed == Feed::kServers && !rows.value().rows.empty()) {
          co_await Pause(kBatchDelay);
        }
        continue;
      }
      if (!rows) {
        OnError(table, rows.error());
      }
      co_await Pause(table.pause);
      table.pause = std::min(2 * table.pause, kMaxRetryPause);
    }
  }

  asio::awaitable<Result<StoredRows, StoreError>> Read(const Table& table) {
    if (table.whole) {
      return store.ReadAll(table.name);
    }
    return store.Follow(table.name, table.rows.version(), kFeedWait);
  }

  // Returns whether the rows were newer than those that are known.
  bool OnStoreRows(Table& table, const StoredRows& rows, bool whole) {
    plan.OnStoreResult(table.feed, true, clock.Now());
    if (table.lost) {
      table.lost = false;
      LogEvent("store_regained", LogClass::kNotable)
          .Add("table", table.name)
          .Add("version", rows.version.number);
    }
    LogSource("store");
    const bool applied = OnRows(table, rows, whole);
    AnnounceConfirmation();
    return applied;
  }

  void AnnounceConfirmation() {
    const TimePoint now = clock.Now();
    const auto age = plan.Age(now);
    if (age && now - *age - announced >= kConfirmationStep) {
      announced = now - *age;
      AnswerHeldQueries();
    }
  }

  bool OnRows(Table& table, const StoredRows& rows, bool whole) {
    const std::int64_t era_before = table.rows.version().era;
    // Ignores an answer that is older than the known rows.
    if (!table.rows.Apply(rows, whole)) {
      return false;
    }
    if (rows.version.era != era_before && era_before != 0) {
      LogRestore(table, era_before);
    }
    for (const StoredRow& it : rows.rows) {
      table.patches.OnRow(it);
    }
    const TimePoint now = clock.Now();
    if (table.feed == Feed::kServers) {
      state.OnServerRows(rows, whole, now);
    } else {
      state.OnOperatorRows(rows, now);
    }
    table.whole = false;
    PublishChanges();
    if (!rows.rows.empty() || rows.version.era != era_before) {
      AnswerHeldQueries();
    }
    return true;
  }

  // The store came back from a backup: its rows replace the known ones of a
  // history that is lost, as far as `FleetState` does not know better.
  void LogRestore(const Table& table, std::int64_t era_before) {
    metrics.GetCounter("peridotgate_gateway_store_restores_total").Add();
    LogEvent("store_restored", LogClass::kNotable)
        .Add("table", table.name)
        .Add("era", table.rows.version().era)
        .Add("era_before", era_before)
        .Add("version", table.rows.version().number);
  }

  void AnswerHeldQueries() {
    for (asio::steady_timer* it : held_queries) {
      it->cancel();
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

  // Logs the transfer of large rows, and each call that failed.
  void LogTransfer(const std::string& from,
                   const Table& table,
                   const StoredRows* rows,
                   TimePoint started) const {
    const std::size_t bytes = rows != nullptr ? ValueBytes(*rows) : 0;
    if (rows != nullptr && bytes < kLargeRowBytes) {
      return;
    }
    LogEvent("rows_transfer", LogClass::kNotable)
        .Add("from", from)
        .Add("table", table.name)
        .Add("outcome", rows != nullptr ? "received" : "failed")
        .Add("rows", rows != nullptr ? rows->rows.size() : 0)
        .Add("bytes", bytes)
        .Add("ms", std::chrono::ceil<Millis>(clock.Now() - started).count());
  }

  void LogReaderLost(const std::optional<PeerRows>& rows) const {
    const auto age = plan.Age(clock.Now());
    LogEvent("reader_lost", LogClass::kNotable)
        .Add("peer", source)
        .Add("why", !rows              ? "no_answer"
                    : rows->from_store ? "stale"
                                       : "reads_no_store")
        .Add("own_age_ms", age ? std::chrono::ceil<Millis>(*age).count() : -1);
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
          .Add("version", table.rows.version().number)
          .Add("era", store.era());
      return;
    }
    plan.OnStoreResult(table.feed, false, clock.Now());
    state.OnStoreLost();
    AnswerHeldQueries();  // The peers need another reader.
    if (!table.lost) {
      table.lost = true;
      LogEvent("store_lost", LogClass::kNotable)
          .Add("table", table.name)
          .Add("version", table.rows.version().number)
          .Add("error", Name(error));
    }
  }

  asio::awaitable<void> FollowPeers() {
    while (true) {
      const auto query = plan.PeerToAsk(clock.Now());
      if (!query) {
        co_await Pause(kSourcePollPeriod);
        continue;
      }
      const bool followed = co_await FollowPeer(*query);
      if (!followed) {
        co_await Pause(kProbePause);
      }
    }
  }

  // Returns whether the peer reads the store and its rows are fresh.
  asio::awaitable<bool> FollowPeer(PeerQuery to) {
    const runtime::Endpoint peer = std::move(to.peer);
    wire::FeedQuery query;
    query.wait_ms = to.probe ? 0 : kPeerWait.count();
    query.patches = true;
    for (const Table* it : {&rules, &servers}) {
      query.tables.push_back(MakeMark(*it));
    }
    const TimePoint started = clock.Now();
    const auto copy = co_await ask(peer, std::move(query));
    if (!copy) {
      LogTransfer(runtime::ToString(peer), rules, nullptr, started);
    }
    std::optional<PeerRows> rows;
    // A peer that has not learned of a restore has nothing new.
    if (copy && copy->age_ms >= 0 && !IsBehind(*copy)) {
      rows = PeerRows{Millis(copy->age_ms), copy->from_store};
    }
    const bool fresh = plan.OnPeerAnswer(peer, rows, clock.Now());
    metrics
        .GetCounter("peridotgate_gateway_peer_rows_total",
                    {{"outcome", fresh  ? "fresh"
                                 : rows ? "stale"
                                        : "none"}})
        .Add();
    if (fresh) {
      LogSource(runtime::ToString(peer));
    } else if (source == runtime::ToString(peer)) {
      LogReaderLost(rows);
    }
    if (copy) {
      ApplyCopy(*copy, runtime::ToString(peer), started);
      AnnounceConfirmation();
    }
    co_return fresh;
  }

  bool IsBehind(const wire::FeedCopy& copy) const {
    return std::any_of(
        copy.tables.begin(), copy.tables.end(),
        [&](const wire::TableCopy& it) { return it.era < store.era(); });
  }

  static wire::TableMark MakeMark(const Table& table) {
    wire::TableMark mark;
    mark.name = table.name;
    mark.version = table.rows.version().number;
    mark.era = table.rows.version().era;
    if (table.without_base) {
      return mark;
    }
    for (const StoredRow* it : table.rows.LargeRows(kMinPatchedBytes)) {
      wire::RowMark row;
      row.key = it->key;
      row.version = it->version.number;
      mark.rows.push_back(std::move(row));
    }
    return mark;
  }

  void ApplyCopy(const wire::FeedCopy& copy,
                 const std::string& from,
                 TimePoint started) {
    for (const wire::TableCopy& table_copy : copy.tables) {
      Table* table = FindTable(table_copy.name);
      if (table == nullptr || table_copy.version == 0) {
        continue;
      }
      store.LearnEra(table_copy.era);
      auto rows = ReadCopy(*table, table_copy);
      table->without_base = !rows;
      if (!rows) {
        LogEvent("patch_rejected", LogClass::kNotable)
            .Add("from", from)
            .Add("table", table->name)
            .Add("version", table_copy.version);
        continue;
      }
      LogTransfer(from, *table, &*rows, started);
      OnRows(*table, *rows, table_copy.whole);
    }
  }

  // Returns nothing if a patch does not fit the known rows.
  static std::optional<StoredRows> ReadCopy(const Table& table,
                                            const wire::TableCopy& copy) {
    StoredRows rows;
    rows.version = {copy.era, copy.version};
    for (const wire::RowCopy& it : copy.rows) {
      StoredRow row{it.key, it.value, {copy.era, it.version}, it.removed};
      if (it.__isset.patch) {
        const StoredRow* base = table.rows.Find(it.key);
        const bool fits =
            it.patch.base_version == 0 ||
            (base != nullptr &&
             base->version ==
                 StoreVersion{it.patch.base_era, it.patch.base_version});
        auto value =
            fits ? ApplyPatch(base != nullptr ? base->value : "", it.patch)
                 : std::nullopt;
        if (!value) {
          return std::nullopt;
        }
        row.value = std::move(*value);
      }
      rows.rows.push_back(std::move(row));
    }
    return rows;
  }

  Table* FindTable(const std::string& name) {
    return name == rules.name     ? &rules
           : name == servers.name ? &servers
                                  : nullptr;
  }

  bool HasChangesFor(const wire::FeedQuery& query) {
    for (const wire::TableMark& mark : query.tables) {
      const Table* table = FindTable(mark.name);
      if (table == nullptr) {
        continue;
      }
      if (table->rows.HasChangesAfter({mark.era, mark.version})) {
        return true;
      }
    }
    return false;
  }

  asio::awaitable<wire::FeedCopy> Answer(wire::FeedQuery query) {
    const Millis wait(std::clamp<std::int64_t>(query.wait_ms, 0, 1000));
    for (const wire::TableMark& it : query.tables) {
      store.LearnEra(it.era);
    }
    if (!HasChangesFor(query)) {
      asio::steady_timer timer(duty.context(), wait);
      held_queries.insert(&timer);
      co_await timer.async_wait(kNoThrow);
      held_queries.erase(&timer);
    }
    wire::FeedCopy copy;
    const auto age = plan.Age(clock.Now());
    copy.age_ms = age ? std::chrono::ceil<Millis>(*age).count() : -1;
    copy.from_store = plan.IsDirect(clock.Now());
    for (const wire::TableMark& mark : query.tables) {
      if (Table* table = FindTable(mark.name)) {
        copy.tables.push_back(MakeCopy(*table, mark, query.patches));
      }
    }
    co_return copy;
  }

  static wire::TableCopy MakeCopy(Table& table,
                                  const wire::TableMark& mark,
                                  bool patches) {
    const auto changes =
        mark.version == 0 ? std::nullopt
                          : table.rows.ChangesAfter({mark.era, mark.version});
    const StoredRows rows = changes ? *changes : table.rows.All();
    wire::TableCopy copy;
    copy.name = table.name;
    copy.version = rows.version.number;
    copy.era = rows.version.era;
    copy.whole = !changes;
    for (const StoredRow& it : rows.rows) {
      wire::RowCopy row;
      row.key = it.key;
      row.version = it.version.number;
      row.removed = it.removed;
      if (patches && !it.removed && it.value.size() >= kMinPatchedBytes) {
        const auto base = std::find_if(
            mark.rows.begin(), mark.rows.end(),
            [&](const auto& known) { return known.key == it.key; });
        row.__set_patch(
            table.patches.Get(it, base == mark.rows.end()
                                      ? StoreVersion{}
                                      : StoreVersion{mark.era, base->version}));
      } else {
        row.value = it.value;
      }
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
    : impl_(std::make_shared<Impl>(duty,
                                   clock,
                                   settings,
                                   store,
                                   format,
                                   std::move(publish),
                                   std::move(ask),
                                   metrics)) {}

Follower::~Follower() = default;

void Follower::Start() {
  Impl& it = *impl_;
  it.rules.name = it.format.operator_table();
  it.servers.name = it.format.server_table();
  asio::co_spawn(it.duty.context(), it.FollowStore(it.rules), asio::detached);
  asio::co_spawn(it.duty.context(), it.FollowStore(it.servers), asio::detached);
  asio::co_spawn(it.duty.context(), it.FollowPeers(), asio::detached);
  asio::co_spawn(it.duty.context(), it.ExpireMissing(), asio::detached);
}

FleetState& Follower::state() {
  return impl_->state;
}

void Follower::PublishChanges() {
  impl_->PublishChanges();
}

void Follower::OnPeers(std::vector<PeerGateway> peers) {
  impl_->plan.OnPeers(std::move(peers));
}

asio::awaitable<wire::FeedCopy> Follower::Answer(wire::FeedQuery query) {
  return impl_->Answer(std::move(query));
}

}  // namespace peridotgate::gateway
