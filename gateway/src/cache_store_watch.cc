#include "gateway/cache_store_watch.h"

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
  runtime::Duty& duty;
  const ServerProtocol& protocol;
  Publish publish;
  std::optional<runtime::Endpoint> address = {};
  std::shared_ptr<runtime::HttpClient> client = {};
  std::int64_t epoch = 0;
  std::int64_t since = 0;
  bool up = false;
  bool resync = false;  // Some news were not taken.

  asio::awaitable<void> Run() {
    asio::steady_timer timer(duty.context());
    while (true) {
      if (client) {
        // Held here, since the rules may name another store meanwhile.
        const auto asked = client;
        auto request = protocol.AskCacheChanges(since, kWait);
        auto answer =
            co_await asked->Fetch(std::move(request), kWait + kAnswerMargin);
        std::optional<CacheChanges> changes;
        if (answer && answer.value().result() == http::status::ok) {
          changes = protocol.ReadCacheChanges(answer.value().body());
        }
        const bool busy = answer && answer.value().result() ==
                                        http::status::too_many_requests;
        if (asked == client && !busy) {
          OnAnswer(std::move(changes));
        }
      }
      timer.expires_after(kPause);
      co_await timer.async_wait(kNoThrow);
    }
  }

  void OnAnswer(std::optional<CacheChanges> changes) {
    CacheStoreNews news;
    news.reachable = changes.has_value();
    if (changes) {
      news.emptied = changes->epoch != epoch || changes->lost || resync;
      epoch = changes->epoch;
      since = changes->next;
      news.events = std::move(changes->events);
    }
    if (up != news.reachable) {
      up = news.reachable;
      LogEvent(up ? "cache_store_regained" : "cache_store_lost",
               LogClass::kNotable)
          .Add("epoch", epoch);
    }
    resync = !publish(std::move(news));
  }
};

CacheStoreWatch::CacheStoreWatch(runtime::Duty& duty,
                                 const ServerProtocol& protocol,
                                 Publish publish)
    : contents_(new Contents{duty, protocol, std::move(publish)}) {}

CacheStoreWatch::~CacheStoreWatch() = default;

void CacheStoreWatch::Start() {
  asio::co_spawn(contents_->duty.context(), contents_->Run(), asio::detached);
}

void CacheStoreWatch::OnView(const FleetView& view) {
  Contents& it = *contents_;
  std::optional<runtime::Endpoint> address;
  if (view.rules) {
    for (const Service& service : view.rules->services()) {
      if (service.cache_store) {
        address = service.cache_store;
      }
    }
  }
  if (address == it.address) {
    return;
  }
  it.address = address;
  it.epoch = 0;
  it.since = 0;
  it.client = address ? std::make_shared<runtime::HttpClient>(it.duty.context(),
                                                              *address)
                      : nullptr;
}

}  // namespace peridotgate::gateway
