#include "gateway/cache_store_watch.h"

#include <algorithm>
#include <map>
#include <optional>
#include <utility>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "runtime/event_log.h"
#include "runtime/http.h"

namespace peridotgate::gateway {
namespace {

using runtime::LogClass;
using runtime::LogEvent;

// A store keeps only its newest events.
constexpr std::uint64_t kMaxChangesBytes = 4 << 20;
constexpr auto kNoThrow = asio::as_tuple(asio::use_awaitable);

// How long the store may hold a request, and so how soon a silent store is
// noticed.
constexpr Millis kPollWait{800};
constexpr Millis kAnswerMargin{200};
// Delay between two polls, so that a busy store is not polled for every event.
constexpr Millis kPollPause{250};

}  // namespace

struct CacheStoreWatch::Impl {
  // A cache store, watched while the rules name it.
  struct WatchedStore {
    runtime::Endpoint address;
    runtime::HttpClient client;
    std::int64_t epoch = 0;
    std::int64_t since = 0;
    bool up = false;
    bool resync = false;   // An update could not be published.
    bool in_rules = true;  // Whether the current rules name it.
  };

  runtime::Duty& duty;
  const ServerProtocol& protocol;
  Publish publish;
  std::map<std::string, std::shared_ptr<WatchedStore>> stores = {};

  asio::awaitable<void> Watch(std::shared_ptr<WatchedStore> store) {
    asio::steady_timer timer(duty.context());
    while (store->in_rules) {
      auto request = protocol.AskCacheChanges(store->since, kPollWait);
      auto answer = co_await store->client.Fetch(std::move(request),
                                                 kPollWait + kAnswerMargin);
      std::optional<CacheChanges> changes;
      if (answer && answer.value().result() == http::status::ok) {
        changes = protocol.ReadCacheChanges(answer.value().body());
      }
      const bool busy =
          answer && answer.value().result() == http::status::too_many_requests;
      if (store->in_rules && !busy) {
        OnAnswer(*store, std::move(changes));
      }
      timer.expires_after(kPollPause);
      co_await timer.async_wait(kNoThrow);
    }
  }

  void OnAnswer(WatchedStore& store, std::optional<CacheChanges> changes) {
    CacheStoreUpdate update;
    update.store = store.address;
    update.reachable = changes.has_value();
    if (changes) {
      update.emptied =
          changes->epoch != store.epoch || changes->lost || store.resync;
      store.epoch = changes->epoch;
      store.since = changes->next;
      update.events = std::move(changes->events);
    }
    if (store.up != update.reachable) {
      store.up = update.reachable;
      LogEvent(store.up ? "cache_store_regained" : "cache_store_lost",
               LogClass::kNotable)
          .Add("store", runtime::ToString(store.address))
          .Add("epoch", store.epoch);
    }
    store.resync = !publish(std::move(update));
  }
};

CacheStoreWatch::CacheStoreWatch(runtime::Duty& duty,
                                 const ServerProtocol& protocol,
                                 Publish publish)
    : impl_(new Impl{duty, protocol, std::move(publish)}) {}

CacheStoreWatch::~CacheStoreWatch() = default;

void CacheStoreWatch::OnView(const FleetView& view) {
  Impl& it = *impl_;
  const auto named_stores = CacheStores(view.rules.get());
  std::erase_if(it.stores, [&](const auto& entry) {
    Impl::WatchedStore& store = *entry.second;
    store.in_rules = std::find(named_stores.begin(), named_stores.end(),
                               store.address) != named_stores.end();
    return !store.in_rules;
  });
  for (const runtime::Endpoint& address : named_stores) {
    auto& store = it.stores[runtime::ToString(address)];
    if (!store) {
      store = std::shared_ptr<Impl::WatchedStore>(new Impl::WatchedStore{
          address,
          runtime::HttpClient(it.duty.context(), address, kMaxChangesBytes)});
      asio::co_spawn(it.duty.context(), it.Watch(store), asio::detached);
    }
  }
}

}  // namespace peridotgate::gateway
