#include "row_store.h"

#include <algorithm>
#include <cstdlib>
#include <thread>

namespace review {
namespace {

constexpr Millis kTransactionTime{4};
constexpr std::size_t kMaxWaitMs = 30000;

std::string Base64(const std::string& bytes) {
  static constexpr std::string_view kDigits =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string text;
  for (std::size_t i = 0; i < bytes.size(); i += 3) {
    std::uint32_t bits = 0;
    for (std::size_t k = 0; k < 3; ++k) {
      const std::size_t at = i + k;
      bits = bits << 8 |
             (at < bytes.size() ? static_cast<unsigned char>(bytes[at]) : 0U);
    }
    for (std::size_t k = 0; k < 4; ++k) {
      const bool padding = i + k > bytes.size();
      text += padding ? '=' : kDigits[bits >> (18 - 6 * k) & 63];
    }
  }
  return text;
}

std::string QueryValue(const std::string& target, const std::string& name) {
  for (const std::string& mark : {"?" + name + "=", "&" + name + "="}) {
    const std::size_t at = target.find(mark);
    if (at != std::string::npos) {
      const std::size_t first = at + mark.size();
      return target.substr(first, target.find('&', first) - first);
    }
  }
  return "";
}

std::string Text(const json::object& object, std::string_view name) {
  const json::value* found = object.if_contains(name);
  return found != nullptr && found->is_string()
             ? std::string(found->as_string())
             : "";
}

// Tables that only the operator and the replicas write.
bool IsOfPlatform(const std::string& table) {
  return table == "op" || table == "servers";
}

}  // namespace

RowStore::RowStore(const std::string& host, Record& record)
    : record_(record),
      server_(host, [this](const Request& request, Peer& peer) {
        return Handle(request, peer);
      }) {}

void RowStore::Apply(const std::string& table,
                     const std::string& key,
                     Row row) {
  changes_.push_back({Now(), table, key, row});
  tables_[table][key] = std::move(row);
}

std::int64_t RowStore::Put(const std::string& table,
                           const std::string& key,
                           const json::object& value) {
  const std::scoped_lock lock(mutex_);
  if (away_ && !rewriting_) {
    return 0;
  }
  ++version_;
  Apply(table, key, {Base64(json::serialize(value)), version_, false});
  changed_.notify_all();
  return version_;
}

void RowStore::SetBusy(bool busy, bool in_pieces) {
  const std::scoped_lock lock(mutex_);
  busy_ = busy;
  busy_in_pieces_ = in_pieces;
  record_.Line(busy ? "store: answers 503" : "store: answers again");
}

bool RowStore::SendBusy(const Peer& peer, bool in_pieces) {
  constexpr Millis kPause{10};
  const std::string head =
      "HTTP/1.1 503 Service Unavailable\r\nTransfer-Encoding: chunked\r\n\r\n";
  if (!in_pieces) {
    return peer.Write(head + "0\r\n\r\n");
  }
  bool open = peer.Write(head);
  for (const char* piece : {"0\r\n", "\r", "\n"}) {
    std::this_thread::sleep_for(kPause);
    open = open && peer.Write(piece);
  }
  return open;
}

void RowStore::GoAway() {
  {
    const std::scoped_lock lock(mutex_);
    away_ = true;
    record_.Line("store: away, newest version " + std::to_string(version_));
  }
  changed_.notify_all();
  server_.ResetAll();
}

void RowStore::ComeBack(TimePoint copied,
                        const std::function<void()>& rewrite) {
  {
    const std::scoped_lock lock(mutex_);
    std::vector<Change> kept;
    for (const Change& it : changes_) {
      if (it.at <= copied) {
        kept.push_back(it);
      }
    }
    tables_.clear();
    changes_ = std::move(kept);
    version_ = 0;
    for (const Change& it : changes_) {
      tables_[it.table][it.key] = it.row;
      version_ = std::max(version_, it.row.version);
    }
    ++era_;
    rewriting_ = true;
    record_.Line("store: copy with newest version " + std::to_string(version_) +
                 ", era " + std::to_string(era_));
  }
  rewrite();
  const std::scoped_lock lock(mutex_);
  rewriting_ = false;
  away_ = false;
  record_.Line("store: back, newest version " + std::to_string(version_));
}

bool RowStore::Handle(const Request& request, Peer& peer) {
  const std::string& target = request.target;
  const bool slow = !target.starts_with("/v1/rows-feed");
  if (slow) {
    std::this_thread::sleep_for(kTransactionTime);
  }
  Response response;
  bool busy = false;
  {
    const std::scoped_lock lock(mutex_);
    if (away_) {
      return false;
    }
    busy = busy_ && QueryValue(target, "table") == "servers";
  }
  if (busy) {
    return SendBusy(peer, busy_in_pieces_);
  }
  if (target == "/v1/rows-tx") {
    response = Transact(request.body);
  } else if (target.starts_with("/v1/rows-get")) {
    response = Get(target);
  } else if (!slow) {
    response = Feed(target);
  } else {
    const std::scoped_lock lock(mutex_);
    response = Reply(404, {});
  }
  return peer.Send(response);
}

Response RowStore::Reply(unsigned status, json::object body) const {
  body["ver"] = version_;
  body["now_ms"] =
      std::chrono::duration_cast<Millis>(Now().time_since_epoch()).count();
  Response response;
  response.status = status;
  response.headers["Content-Type"] = "application/json";
  response.headers["Store-Era"] = std::to_string(era_);
  response.body = json::serialize(body);
  return response;
}

Response RowStore::Transact(const std::string& body) {
  const std::scoped_lock lock(mutex_);
  if (away_) {
    return {};
  }
  boost::system::error_code ec;
  const json::value call = json::parse(body, ec);
  if (ec) {
    return Reply(400, {});
  }
  const json::object& fields = call.as_object();
  const auto list = [&](std::string_view name) -> json::array {
    const json::value* found = fields.if_contains(name);
    return found != nullptr && found->is_array() ? found->as_array()
                                                 : json::array();
  };
  json::array differing;
  for (const json::value& it : list("expected")) {
    const json::object& row = it.as_object();
    const Table& table = tables_[Text(row, "table")];
    const auto found = table.find(Text(row, "key"));
    const bool exists = found != table.end() && !found->second.removed;
    const std::int64_t version = exists ? found->second.version : 0;
    if (version != row.at("ver").to_number<std::int64_t>()) {
      json::object current{{"table", Text(row, "table")},
                           {"part", ""},
                           {"key", Text(row, "key")},
                           {"ver", version}};
      if (exists) {
        current["value"] = found->second.value;
      }
      differing.push_back(std::move(current));
    }
  }
  if (!differing.empty()) {
    return Reply(412, {{"rows", std::move(differing)}});
  }
  for (const char* name : {"writes", "remove"}) {
    for (const json::value& it : list(name)) {
      if (IsOfPlatform(Text(it.as_object(), "table"))) {
        return Reply(403, {});
      }
    }
  }
  ++version_;
  for (const json::value& it : list("writes")) {
    const json::object& row = it.as_object();
    Apply(Text(row, "table"), Text(row, "key"),
          {Text(row, "value"), version_, false});
  }
  for (const json::value& it : list("remove")) {
    const json::object& row = it.as_object();
    Apply(Text(row, "table"), Text(row, "key"), {"", version_, true});
  }
  changed_.notify_all();
  return Reply(200, {});
}

json::array RowStore::RowsOf(const std::string& table,
                             std::int64_t after,
                             bool with_removed) const {
  json::array rows;
  const auto found = tables_.find(table);
  if (found == tables_.end()) {
    return rows;
  }
  for (const auto& [key, row] : found->second) {
    if (row.version > after && (with_removed || !row.removed)) {
      json::object object{{"table", table},
                          {"part", ""},
                          {"key", key},
                          {"value", row.value},
                          {"ver", row.version}};
      if (row.removed) {
        object["removed"] = true;
      }
      rows.push_back(std::move(object));
    }
  }
  return rows;
}

Response RowStore::Get(const std::string& target) {
  const std::scoped_lock lock(mutex_);
  if (away_) {
    return {};
  }
  return Reply(200, {{"rows", RowsOf(QueryValue(target, "table"), 0, false)},
                     {"truncated", false}});
}

Response RowStore::Feed(const std::string& target) {
  const std::string table = QueryValue(target, "table");
  const auto after =
      std::strtoll(QueryValue(target, "after").c_str(), nullptr, 10);
  const std::size_t wait_ms =
      std::strtoul(QueryValue(target, "wait_ms").c_str(), nullptr, 10);
  const TimePoint end =
      Now() + Millis(static_cast<int>(std::min(wait_ms, kMaxWaitMs)));
  std::unique_lock lock(mutex_);
  const std::int64_t era = era_;
  while (!away_ && era == era_) {
    if (after > version_) {
      return Reply(410, {});
    }
    json::array rows = RowsOf(table, after, true);
    if (!rows.empty() || Now() >= end) {
      return Reply(200, {{"rows", std::move(rows)}});
    }
    changed_.wait_until(lock, end);
  }
  return {};  // The connection was reset meanwhile.
}

}  // namespace review
