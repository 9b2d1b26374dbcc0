#include "stand_ins.h"

#include <cstdlib>
#include <thread>
#include <utility>

namespace review {
namespace {

constexpr std::string_view kAlphabet =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
constexpr Millis kHeartbeat{1200};
// The time that new weights take a replica, from the sheets.
constexpr Millis kLoadTime{760};

std::string Base64(std::string_view bytes) {
  std::string text;
  for (std::size_t i = 0; i < bytes.size(); i += 3) {
    std::uint32_t group = 0;
    for (std::size_t k = 0; k < 3; ++k) {
      const std::uint8_t byte =
          i + k < bytes.size() ? static_cast<std::uint8_t>(bytes[i + k]) : 0;
      group = (group << 8) | byte;
    }
    for (std::size_t k = 0; k < 4; ++k) {
      text +=
          i + k <= bytes.size() ? kAlphabet[(group >> (18 - 6 * k)) & 63] : '=';
    }
  }
  return text;
}

std::string Query(const std::string& target, const std::string& name) {
  std::size_t at = target.find("?" + name + "=");
  at = at == std::string::npos ? target.find("&" + name + "=") : at;
  if (at == std::string::npos) {
    return "";
  }
  const std::size_t first = at + name.size() + 2;
  return target.substr(first, target.find('&', first) - first);
}

std::int64_t NowMs() {
  return std::chrono::duration_cast<Millis>(Clock::now().time_since_epoch())
      .count();
}

std::string JsonResponse(int status, const json::object& body) {
  return Response(status, {{"Content-Type", "application/json"}},
                  json::serialize(body));
}

std::string Field(const json::object& row, std::string_view name) {
  const auto* found = row.if_contains(name);
  return found == nullptr ? "" : std::string(found->as_string());
}

}  // namespace

Store::Store() {
  listener_ = std::make_unique<Listener>(
      "127.0.0.1", 0, [this](const ConnectionPtr& it) { Serve(it); });
}

void Store::Put(const std::string& table,
                const std::string& key,
                const std::string& value) {
  const std::lock_guard lock(mutex_);
  tables_[table][key] = {Base64(value), ++version_, false};
  changed_.notify_all();
}

void Store::Remove(const std::string& table, const std::string& key) {
  const std::lock_guard lock(mutex_);
  tables_[table][key] = {"", ++version_, true};
  changed_.notify_all();
}

void Store::Serve(const ConnectionPtr& connection) {
  Message request;
  while (connection->ReadHead(request) && connection->ReadBody(request)) {
    if (!connection->Write(Answer(request))) {
      return;
    }
  }
}

std::string Store::Answer(const Message& request) {
  const std::string target = request.Word(1);
  if (target == "/v1/rows-tx") {
    return Transact(request.body);
  }
  if (target.starts_with("/v1/rows-feed")) {
    return Feed(target);
  }
  if (target.starts_with("/v1/rows-get")) {
    const std::lock_guard lock(mutex_);
    return JsonResponse(200, {{"rows", Rows(Query(target, "table"), 0, false)},
                              {"truncated", false},
                              {"ver", version_},
                              {"now_ms", NowMs()}});
  }
  return JsonResponse(404, {});
}

std::string Store::Transact(const std::string& body) {
  const json::value call = json::parse(body);
  const std::lock_guard lock(mutex_);
  for (const json::value& it : call.at("expected").as_array()) {
    const json::object& row = it.as_object();
    const Row& stored = tables_[Field(row, "table")][Field(row, "key")];
    const std::int64_t version = stored.removed ? 0 : stored.version;
    if (version != row.at("ver").to_number<std::int64_t>()) {
      return JsonResponse(
          412,
          {{"rows", json::array()}, {"ver", version_}, {"now_ms", NowMs()}});
    }
  }
  ++version_;
  for (const json::value& it : call.at("writes").as_array()) {
    const json::object& row = it.as_object();
    tables_[Field(row, "table")][Field(row, "key")] = {Field(row, "value"),
                                                       version_, false};
  }
  changed_.notify_all();
  return JsonResponse(200, {{"ver", version_}, {"now_ms", NowMs()}});
}

json::array Store::Rows(const std::string& table,
                        std::int64_t after,
                        bool removed) {
  json::array rows;
  for (const auto& [key, row] : tables_[table]) {
    if (row.version <= after || row.version == 0 || (row.removed && !removed)) {
      continue;
    }
    json::object it{{"table", table},
                    {"part", ""},
                    {"key", key},
                    {"value", row.value},
                    {"ver", row.version}};
    if (row.removed) {
      it["removed"] = true;
    }
    rows.push_back(std::move(it));
  }
  return rows;
}

std::string Store::Feed(const std::string& target) {
  const std::string table = Query(target, "table");
  const std::int64_t after = std::atoll(Query(target, "after").c_str());
  const Millis wait(std::atoll(Query(target, "wait_ms").c_str()));
  const auto end = Clock::now() + wait;
  std::unique_lock lock(mutex_);
  json::array rows;
  while (true) {
    rows = Rows(table, after, true);
    if (!rows.empty() ||
        changed_.wait_until(lock, end) == std::cv_status::timeout) {
      break;
    }
  }
  return JsonResponse(
      200, {{"rows", std::move(rows)}, {"ver", version_}, {"now_ms", NowMs()}});
}

Replica::Replica(Store& store, ReplicaOptions options, Work work)
    : store_(store),
      options_(std::move(options)),
      work_(std::move(work)),
      born_ms_(std::chrono::duration_cast<Millis>(
                   std::chrono::system_clock::now().time_since_epoch())
                   .count()) {
  listener_ = std::make_unique<Listener>(
      "127.0.0.1", 0, [this](const ConnectionPtr& it) { Serve(it); });
}

std::string Replica::Row() {
  json::array models;
  for (const auto& [name, version] : options_.models) {
    models.push_back(json::object{
        {"name", name}, {"version", version}, {"adapters", json::array()}});
  }
  return json::serialize(json::object{{"service", options_.service},
                                      {"address", address()},
                                      {"zone", options_.zone},
                                      {"version", "v1"},
                                      {"slots", options_.slots},
                                      {"state", "ready"},
                                      {"cold_left_ms", 0},
                                      {"stage", "both"},
                                      {"models", std::move(models)},
                                      {"sequence", ++beats_},
                                      {"born", born_ms_}});
}

void Replica::Register() {
  {
    const std::lock_guard lock(mutex_);
    registered_ = true;
    store_.Put("servers", id(), Row());
  }
  std::thread([this] {
    while (true) {
      std::this_thread::sleep_for(kHeartbeat);
      const std::lock_guard lock(mutex_);
      if (!registered_) {
        return;
      }
      store_.Put("servers", id(), Row());
    }
  }).detach();
}

void Replica::Deregister() {
  const std::lock_guard lock(mutex_);
  registered_ = false;
  store_.Remove("servers", id());
}

void Replica::Kill() {
  listener_->Kill();
  Deregister();
}

std::int64_t Replica::Version(const std::string& model) {
  const std::lock_guard lock(mutex_);
  return options_.models[model];
}

std::map<std::string, std::string> Replica::Headers(const Message& request) {
  std::map<std::string, std::string> headers{
      {"Peridotgate-Request-Id", request.Header("Peridotgate-Request-Id")},
      {"Peridotgate-Server-Seal",
       "seal." + id() + "." + request.Header("Peridotgate-Request-Id")}};
  const std::string model = request.Header("Peridotgate-Model");
  if (!model.empty()) {
    headers["Peridotgate-Weight-Versions"] = std::to_string(Version(model));
  }
  return headers;
}

std::string Replica::Report() {
  const std::lock_guard lock(mutex_);
  json::array models;
  for (const auto& [name, version] : options_.models) {
    models.push_back(json::object{
        {"name", name}, {"version", version}, {"adapters", json::array()}});
  }
  return JsonResponse(200, {{"stage", "both"},
                            {"models", std::move(models)},
                            {"busy", busy_},
                            {"sequence", orders_},
                            {"waiting", 0},
                            {"running", 0},
                            {"born", born_ms_}});
}

int Replica::Order(const std::string& body) {
  const json::value order = json::parse(body);
  const std::string model(order.at("model").as_string());
  const auto version = order.at("version").to_number<std::int64_t>();
  const std::lock_guard lock(mutex_);
  if (options_.models[model] == version) {
    return 200;
  }
  const auto* expected = order.as_object().if_contains("expected");
  if (busy_ ||
      (expected != nullptr && expected->to_number<std::int64_t>() != orders_)) {
    return 409;
  }
  ++orders_;
  busy_ = true;
  std::thread([this, model, version] {
    std::this_thread::sleep_for(kLoadTime);
    const std::lock_guard it(mutex_);
    options_.models[model] = version;
    busy_ = false;
    if (registered_) {
      store_.Put("servers", id(), Row());
    }
  }).detach();
  return 202;
}

void Replica::Serve(const ConnectionPtr& connection) {
  Message request;
  while (connection->ReadHead(request) && connection->ReadBody(request)) {
    const std::string target = request.Word(1);
    const std::string expected = request.Header("Peridotgate-Expect-Instance");
    std::map<std::string, std::string> refusal = Headers(request);
    refusal.erase("Peridotgate-Server-Seal");
    refusal["Peridotgate-Instance-Id"] = id();
    refusal["Peridotgate-Not-Executed"] = "1";
    if (!expected.empty() && expected != id()) {
      connection->Write(Response(421, refusal, ""));
      continue;
    }
    if (target == "/v1/report") {
      connection->Write(Report());
      continue;
    }
    if (target == "/v1/order") {
      connection->Write(JsonResponse(Order(request.body), {}));
      continue;
    }
    const std::string version = request.Header("Peridotgate-Expect-Version");
    if (!version.empty() && std::atoll(version.c_str()) !=
                                Version(request.Header("Peridotgate-Model"))) {
      connection->Write(Response(421, refusal, ""));
      continue;
    }
    work_(request, connection);
  }
}

}  // namespace review
