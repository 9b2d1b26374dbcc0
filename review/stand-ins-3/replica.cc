#include "replica.h"

#include <functional>
#include <utility>

namespace review {
namespace {

constexpr Millis kHeartbeat{1200};
constexpr Millis kStep{20};
constexpr Millis kLoadTime{760};
constexpr Millis kLeastWork{20};
constexpr int kWorkSpreadMs = 40;

}  // namespace

Replica::Replica(const std::string& host,
                 std::string id,
                 ReplicaOptions options,
                 RowStore& store,
                 Record& record)
    : id_(std::move(id)),
      options_(std::move(options)),
      store_(store),
      record_(record),
      born_ms_(std::chrono::duration_cast<Millis>(
                   std::chrono::system_clock::now().time_since_epoch())
                   .count()),
      server_(host, [this](const Request& request, Peer& peer) {
        return Handle(request, peer);
      }) {
  Register();
  heartbeat_ = std::thread([this] {
    TimePoint next = Now() + kHeartbeat;
    while (!stopping_) {
      std::this_thread::sleep_for(kStep);
      FinishLoading();
      if (Now() >= next) {
        next += kHeartbeat;
        Register();
      }
    }
  });
}

Replica::~Replica() {
  stopping_ = true;
  heartbeat_.join();
}

void Replica::Register() {
  json::object row;
  {
    const std::scoped_lock lock(mutex_);
    row = {{"service", options_.service},
           {"address", server_.address()},
           {"zone", options_.zone},
           {"version", "r1"},
           {"slots", options_.slots},
           {"state", "ready"},
           {"cold_left_ms", 0},
           {"sequence", sequence_},
           {"born", born_ms_}};
    if (!options_.model.empty()) {
      row["stage"] = "both";
      row["models"] = json::array{
          json::object{{"name", options_.model}, {"version", version_}}};
    }
  }
  store_.Put("servers", id_, row);
}

void Replica::Name(std::int64_t version) {
  const std::scoped_lock lock(mutex_);
  named_.insert(version);
}

std::int64_t Replica::version() const {
  const std::scoped_lock lock(mutex_);
  return version_;
}

std::vector<Order> Replica::orders() const {
  const std::scoped_lock lock(mutex_);
  return orders_;
}

std::vector<Run> Replica::runs() const {
  const std::scoped_lock lock(mutex_);
  return runs_;
}

void Replica::FinishLoading() {
  {
    const std::scoped_lock lock(mutex_);
    if (loading_ == 0 || Now() < loaded_at_) {
      return;
    }
    version_ = std::exchange(loading_, 0);
  }
  Register();
}

bool Replica::Handle(const Request& request, Peer& peer) {
  Response response;
  const std::string expected = request.Header("Peridotgate-Expect-Instance");
  if (!expected.empty() && expected != id_) {
    response.status = 421;
    response.headers["Peridotgate-Not-Executed"] = "1";
    response.headers["Peridotgate-Request-Id"] =
        request.Header("Peridotgate-Request-Id");
    return peer.Send(response);
  }
  if (request.target == "/v1/report") {
    return peer.Send(Report());
  }
  if (request.target == "/v1/order") {
    const Response taken = TakeOrder(request);
    constexpr unsigned kAccepted = 202;
    return taken.status == kAccepted && options_.empty_in_chunks
               ? SendEmpty(peer, "HTTP/1.1 202 Accepted\r\n")
               : peer.Send(taken);
  }
  if (request.target == "/health") {
    response.status = 200;
    response.headers["Peridotgate-Instance-Id"] = id_;
    return peer.Send(response);
  }
  const std::string id = request.Header("Peridotgate-Request-Id");
  const std::string tenant = request.Header("Peridotgate-Tenant");
  {
    const std::scoped_lock lock(mutex_);
    runs_.push_back({record_.At(), id, tenant});
  }
  record_.Line("replica " + id_ + ": runs " + id + " of tenant " + tenant);
  std::this_thread::sleep_for(
      kLeastWork +
      Millis(static_cast<int>(std::hash<std::string>()(id) % kWorkSpreadMs)));
  if (request.target.starts_with("/look/empty")) {
    return SendEmpty(peer, "HTTP/1.1 200 OK\r\nPeridotgate-Request-Id: " + id +
                               "\r\nPeridotgate-Server-Seal: seal." + id +
                               "\r\n");
  }
  response.status = 200;
  response.headers["Peridotgate-Request-Id"] = id;
  response.headers["Peridotgate-Server-Seal"] = "seal." + id;
  response.headers["Peridotgate-Server-Load"] =
      "1,0," + std::to_string(options_.slots);
  response.body = "answer to " + id;
  return peer.Send(response);
}

// An empty body in chunks; its last bytes may take some milliseconds.
bool Replica::SendEmpty(const Peer& peer, const std::string& head) const {
  constexpr Millis kPause{10};
  const std::string framed = head + "Transfer-Encoding: chunked\r\n\r\n";
  if (!options_.in_pieces) {
    return peer.Write(framed + "0\r\n\r\n");
  }
  bool open = peer.Write(framed);
  for (const char* piece : {"0\r\n", "\r", "\n"}) {
    std::this_thread::sleep_for(kPause);
    open = open && peer.Write(piece);
  }
  return open;
}

Response Replica::Report() {
  const std::scoped_lock lock(mutex_);
  const json::object report{
      {"stage", "both"},
      {"models", json::array{json::object{{"name", options_.model},
                                          {"version", version_},
                                          {"adapters", json::array()}}}},
      {"busy", loading_ != 0},
      {"sequence", sequence_},
      {"waiting", 0},
      {"running", 0},
      {"kv_used", 0},
      {"kv_total", 100000},
      {"handles", 0},
      {"born", born_ms_}};
  Response response;
  response.status = 200;
  response.headers["Content-Type"] = "application/json";
  response.body = json::serialize(report);
  return response;
}

Response Replica::TakeOrder(const Request& request) {
  Response response;
  boost::system::error_code ec;
  const json::value parsed = json::parse(request.body, ec);
  const json::object* order = ec ? nullptr : parsed.if_object();
  if (order == nullptr || !order->contains("holder") ||
      !order->contains("fence")) {
    response.status = 400;
    return response;
  }
  Order taken;
  taken.at_ms = record_.At();
  taken.holder = order->at("holder").as_string();
  taken.fence = order->at("fence").to_number<std::int64_t>();
  taken.version = order->at("version").to_number<std::int64_t>();
  const std::scoped_lock lock(mutex_);
  const json::value* expected = order->if_contains("expected");
  const bool other_sequence =
      expected != nullptr && expected->to_number<std::int64_t>() != sequence_;
  if (!named_.contains(taken.version)) {
    response.status = 400;
  } else if (loading_ != 0 || other_sequence) {
    response.status = 409;
  } else if (taken.version == version_) {
    response.status = 200;
  } else {
    response.status = 202;
    ++sequence_;
    loading_ = taken.version;
    loaded_at_ = Now() + kLoadTime;
  }
  taken.status = response.status;
  orders_.push_back(taken);
  record_.Line("replica " + id_ + ": order of " + taken.holder + ", fence " +
               std::to_string(taken.fence) + ", version " +
               std::to_string(taken.version) + " -> " +
               std::to_string(taken.status));
  return response;
}

}  // namespace review
