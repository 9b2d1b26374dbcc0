#include "soak/row_store_stand_in.h"

#include <algorithm>
#include <charconv>
#include <chrono>
#include <utility>

#include <openssl/evp.h>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace peridotgate::soak {
namespace {

namespace http = runtime::http;

constexpr auto kNoThrow = asio::as_tuple(asio::use_awaitable);

std::string Base64(std::string_view bytes) {
  std::string text(4 * ((bytes.size() + 2) / 3) + 1, '\0');
  const int n =
      EVP_EncodeBlock(reinterpret_cast<unsigned char*>(text.data()),
                      reinterpret_cast<const unsigned char*>(bytes.data()),
                      static_cast<int>(bytes.size()));
  text.resize(static_cast<std::size_t>(n));
  return text;
}

// The value of query parameter `name`. Escapes aren't decoded.
std::string QueryValue(std::string_view target, std::string_view name) {
  const std::string key = std::string(name) + "=";
  const std::size_t at = target.find(key);
  if (at == std::string_view::npos) {
    return "";
  }
  const std::size_t first = at + key.size();
  return std::string(target.substr(first, target.find('&', first) - first));
}

std::int64_t QueryNumber(std::string_view target, std::string_view name) {
  const std::string text = QueryValue(target, name);
  std::int64_t value = 0;
  std::from_chars(text.data(), text.data() + text.size(), value);
  return value;
}

std::string StringField(const json::object& object, std::string_view name) {
  const json::value* found = object.if_contains(name);
  return found != nullptr && found->is_string() ? found->as_string().c_str()
                                                : "";
}

runtime::HttpResponse Reply(unsigned status, const json::object& body) {
  return runtime::MakeResponse(static_cast<http::status>(status),
                               json::serialize(body));
}

}  // namespace

asio::awaitable<void> RowStoreStandIn::Handle(runtime::HttpRequest request,
                                              runtime::HttpExchange& exchange) {
  if (faults.down) {
    co_await Send(Reply(503, {}), exchange);
    co_return;
  }
  const std::string target(request.target());
  runtime::HttpResponse response;
  if (target == "/v1/rows-tx") {
    response = Transact(request.body());
    if (faults.lose_responses) {
      exchange.Abort();
      co_return;
    }
  } else if (target.starts_with("/v1/rows-feed")) {
    response = co_await Feed(target);
  } else if (target.starts_with("/v1/rows-get")) {
    response = Get(target);
  } else {
    response = Reply(404, {});
  }
  co_await Send(std::move(response), exchange);
}

asio::awaitable<void> RowStoreStandIn::Send(
    runtime::HttpResponse response,
    runtime::HttpExchange& exchange) const {
  response.set("Store-Era", std::to_string(era_));
  co_await exchange.Send(std::move(response));
}

void RowStoreStandIn::Backup() {
  backup_ = {tables_, version_};
}

void RowStoreStandIn::Restore() {
  tables_ = backup_.tables;
  version_ = backup_.version;
  history_start_ = std::min(history_start_, version_);
  ++era_;
  WakeFeeds();
}

runtime::HttpResponse RowStoreStandIn::Transact(const std::string& body) {
  const json::value call = json::parse(body);
  for (const json::value& it : call.at("expected").as_array()) {
    const json::object& row = it.as_object();
    const Table& table = tables_[StringField(row, "table")];
    const auto found = table.find(StringField(row, "key"));
    const std::int64_t stored_version =
        found == table.end() || found->second.removed ? 0
                                                      : found->second.version;
    if (stored_version != row.at("ver").to_number<std::int64_t>()) {
      return Reply(412, {{"ver", version_}, {"rows", json::array()}});
    }
  }
  ++version_;
  for (const json::value& it : call.at("writes").as_array()) {
    const json::object& row = it.as_object();
    tables_[StringField(row, "table")][StringField(row, "key")] = {
        StringField(row, "value"), version_, false};
  }
  WakeFeeds();
  return Reply(200, {{"ver", version_}});
}

json::array RowStoreStandIn::Rows(const std::string& table,
                                  std::int64_t after,
                                  bool include_removed) const {
  json::array rows;
  const auto found = tables_.find(table);
  if (found == tables_.end()) {
    return rows;
  }
  for (const auto& [key, row] : found->second) {
    if (row.version <= after || (row.removed && !include_removed)) {
      continue;
    }
    rows.push_back(json::object{{"table", table},
                                {"part", ""},
                                {"key", key},
                                {"value", row.value},
                                {"ver", row.version},
                                {"removed", row.removed}});
  }
  return rows;
}

runtime::HttpResponse RowStoreStandIn::Get(std::string_view target) const {
  return Reply(200, {{"rows", Rows(QueryValue(target, "table"), 0, false)},
                     {"truncated", false},
                     {"ver", version_}});
}

asio::awaitable<runtime::HttpResponse> RowStoreStandIn::Feed(
    std::string target) {
  const std::string table = QueryValue(target, "table");
  const std::int64_t after = QueryNumber(target, "after");
  const std::chrono::milliseconds wait(QueryNumber(target, "wait_ms"));
  const auto end = std::chrono::steady_clock::now() + wait;
  json::array rows = Rows(table, after, true);
  while (rows.empty() && std::chrono::steady_clock::now() < end) {
    asio::steady_timer timer(context_, end);
    feed_timers_.insert(&timer);
    co_await timer.async_wait(kNoThrow);
    feed_timers_.erase(&timer);
    rows = Rows(table, after, true);
  }
  if (after < history_start_ || after > version_) {
    co_return Reply(410, {{"ver", version_}});
  }
  co_return Reply(200, {{"rows", std::move(rows)}, {"ver", version_}});
}

void RowStoreStandIn::Put(const std::string& table,
                          const std::string& key,
                          const json::object& value) {
  tables_[table][key] = {Base64(json::serialize(value)), ++version_, false};
  WakeFeeds();
}

void RowStoreStandIn::Remove(const std::string& table, const std::string& key) {
  tables_[table][key] = {"", ++version_, true};
  WakeFeeds();
}

std::vector<std::string> RowStoreStandIn::Keys(const std::string& table) const {
  std::vector<std::string> keys;
  const auto found = tables_.find(table);
  if (found != tables_.end()) {
    for (const auto& [key, row] : found->second) {
      if (!row.removed) {
        keys.push_back(key);
      }
    }
  }
  return keys;
}

void RowStoreStandIn::WakeFeeds() {
  for (asio::steady_timer* it : feed_timers_) {
    it->cancel();
  }
}

}  // namespace peridotgate::soak
