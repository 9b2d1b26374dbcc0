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

constexpr auto kNoThrow = asio::as_tuple(asio::use_awaitable);

// How long the store may hold a question; also how soon silence is noticed.
constexpr Millis kWait{800};
constexpr Millis kAnswerMargin{200};
// Between two questions, so that a busy store is not asked for each event.
constexpr Millis kPause{250};

}  // namespace

struct CacheStoreWatch::Contents {
  // One cache store that is watched while the rules name it.
  struct Watched {
    runtime::Endpoint address;
    runtime::HttpClient client;
    std::int64_t epoch = 0;
    std::int64_t since = 0;
    bool up = false;
    bool resync = false;  // Some news were not taken.
    bool named = true;    // By the rules in force.
  };

  runtime::Duty& duty;
  const ServerProtocol& protocol;
  Publish publish;
  std::map<std::string, std::shared_ptr<Watched>> stores = {};

  asio::awaitable<void> Watch(std::shared_ptr<Watched> store) {
    asio::steady_timer timer(duty.context());
    while (store->named) {
      auto request = protocol.AskCacheChanges(store->since, kWait);
      auto answer = co_await store->client.Fetch(std::move(request),
                                                 kWait + kAnswerMargin);
      std::optional<CacheChanges> changes;
      if (answer && answer.value().result() == http::status::ok) {
        changes = protocol.ReadCacheChanges(answer.value().body());
      }
      const bool busy =
          answer && answer.value().result() == http::status::too_many_requests;
      if (store->named && !busy) {
        OnAnswer(*store, std::move(changes));
      }
      timer.expires_after(kPause);
      co_await timer.async_wait(kNoThrow);
    }
  }

  void OnAnswer(Watched& store, std::optional<CacheChanges> changes) {
    CacheStoreNews news;
    news.store = store.address;
    news.reachable = changes.has_value();
    if (changes) {
      news.emptied =
          changes->epoch != store.epoch || changes->lost || store.resync;
      store.epoch = changes->epoch;
      store.since = changes->next;
      news.events = std::move(changes->events);
    }
    if (store.up != news.reachable) {
      store.up = news.reachable;
      LogEvent(store.up ? "cache_store_regained" : "cache_store_lost",
               LogClass::kNotable)
          .Add("store", runtime::ToString(store.address))
          .Add("epoch", store.epoch);
    }
    store.resync = !publish(std::move(news));
  }
};

CacheStoreWatch::CacheStoreWatch(runtime::Duty& duty,
                                 const ServerProtocol& protocol,
                                 Publish publish)
    : contents_(new Contents{duty, protocol, std::move(publish)}) {}

CacheStoreWatch::~CacheStoreWatch() = default;

void CacheStoreWatch::OnView(const FleetView& view) {
  Contents& it = *contents_;
  const auto named = CacheStores(view.rules.get());
  std::erase_if(it.stores, [&](const auto& entry) {
    Contents::Watched& store = *entry.second;
    store.named =
        std::find(named.begin(), named.end(), store.address) != named.end();
    return !store.named;
  });
  for (const runtime::Endpoint& address : named) {
    auto& store = it.stores[runtime::ToString(address)];
    if (!store) {
      store = std::shared_ptr<Contents::Watched>(new Contents::Watched{
          address, runtime::HttpClient(it.duty.context(), address)});
      asio::co_spawn(it.duty.context(), it.Watch(store), asio::detached);
    }
  }
}

}  // namespace peridotgate::gateway
