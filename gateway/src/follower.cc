#include "gateway/follower.h"

#include <string>
#include <utility>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "coordination/jitter.h"
#include "runtime/event_log.h"

namespace peridotgate::gateway {
namespace {

using runtime::LogClass;
using runtime::LogEvent;

constexpr auto kNoThrow = asio::as_tuple(asio::use_awaitable);

// How long the store may hold a question about changes. A connection that
// fell silent is noticed soon after it.
constexpr Millis kFollowWait{1500};
// Between two tries while the store does not answer.
constexpr Millis kRetryPause{150};
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
           Store& store,
           const FleetFormat& format,
           Publish publish,
           runtime::Metrics& metrics)
      : duty(duty),
        clock(clock),
        store(store),
        format(format),
        state(format),
        publish(std::move(publish)),
        metrics(metrics) {}

  // One table that is followed.
  struct Table {
    std::string name;
    bool servers = false;
    bool whole = true;  // The next read is of all rows.
    bool lost = false;
    std::int64_t version = 0;
  };

  runtime::Duty& duty;
  const coordination::Clock& clock;
  Store& store;
  const FleetFormat& format;
  FleetState state;
  Publish publish;
  runtime::Metrics& metrics;
  Table rules{.name = {}, .servers = false};
  Table servers{.name = {}, .servers = true};

  asio::awaitable<void> Follow(Table& table) {
    asio::steady_timer timer(duty.context());
    while (true) {
      auto rows = co_await Read(table);
      if (rows) {
        OnRows(table, rows.value());
        continue;
      }
      OnError(table, rows.error());
      timer.expires_after(kRetryPause);
      co_await timer.async_wait(kNoThrow);
    }
  }

  asio::awaitable<Result<StoredRows, StoreError>> Read(const Table& table) {
    if (table.whole) {
      return store.ReadAll(table.name);
    }
    return store.Follow(table.name, table.version, kFollowWait);
  }

  void OnRows(Table& table, const StoredRows& rows) {
    if (table.lost) {
      table.lost = false;
      LogEvent("store_regained", LogClass::kNotable)
          .Add("table", table.name)
          .Add("version", rows.version);
    }
    // An answer that was overtaken says nothing new.
    if (rows.version < table.version) {
      return;
    }
    const TimePoint now = clock.Now();
    if (table.servers) {
      state.OnServerRows(rows, table.whole, now);
    } else {
      state.OnOperatorRows(rows, now);
    }
    table.version = rows.version;
    table.whole = false;
    PublishChanges();
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
          .Add("version", table.version);
      return;
    }
    state.OnStoreLost(clock.Now());
    if (!table.lost) {
      table.lost = true;
      LogEvent("store_lost", LogClass::kNotable)
          .Add("table", table.name)
          .Add("version", table.version)
          .Add("error", Name(error));
    }
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
                   Store& store,
                   const FleetFormat& format,
                   Publish publish,
                   runtime::Metrics& metrics)
    : contents_(std::make_shared<Contents>(duty,
                                           clock,
                                           store,
                                           format,
                                           std::move(publish),
                                           metrics)) {}

Follower::~Follower() = default;

void Follower::Start() {
  Contents& it = *contents_;
  it.rules.name = it.format.operator_table();
  it.servers.name = it.format.server_table();
  asio::co_spawn(it.duty.context(), it.Follow(it.rules), asio::detached);
  asio::co_spawn(it.duty.context(), it.Follow(it.servers), asio::detached);
  asio::co_spawn(it.duty.context(), it.ExpireMissing(), asio::detached);
}

FleetState& Follower::state() {
  return contents_->state;
}

void Follower::PublishChanges() {
  contents_->PublishChanges();
}

bool Follower::in_touch() const {
  return !contents_->rules.lost;
}

}  // namespace peridotgate::gateway
