// Replicas leave orders for new weights unanswered and carry them out late.
// Meanwhile the next version is in place, and some of these replicas crash and
// start again under the id that they had, so that their counts of orders start
// anew.
#include <algorithm>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "../stand-ins-2/stand_ins.h"

namespace review {
namespace {

constexpr int kMemoryMb = 260;
constexpr int kDescriptors = 3900;
constexpr int kReplicas = 9;
constexpr int kCrashed = 3;  // 0.3 of nine, rounded up.
constexpr int kVersionMs = 10000;
constexpr int kMinOutdated = 2;
constexpr Millis kLoad{760};
constexpr Millis kDown{1000};
constexpr Millis kLate{11500};
constexpr Millis kLateOrdersFor{7000};
constexpr int kSettleMs = 2000;
constexpr Millis kRequestPause{40};

struct Order {
  Clock::time_point due;
  std::int64_t version = 0;
  std::int64_t expected = 0;
  std::string instance;
};

// A model replica: one incarnation at a time, whose weights outlast it, and the
// orders that are under way to its address.
class Replica {
 public:
  Replica(RowStore& store, Record& record, std::string id)
      : store_(store), record_(record), id_(std::move(id)) {
    server_ = MakeServer(0);
    port_ = server_->port();
    BeginIncarnation();
    worker_ = std::thread([this] { Work(); });
  }
  ~Replica() {
    stopping_ = true;
    worker_.join();
  }
  Replica(const Replica&) = delete;
  Replica& operator=(const Replica&) = delete;

  /** From now on the first order is left unanswered, and carried out late. */
  void LeaveFirstOrderUnanswered() {
    const std::lock_guard lock(mutex_);
    leaves_unanswered_ = true;
  }
  void AnswerAll() {
    const std::lock_guard lock(mutex_);
    leaves_unanswered_ = false;
  }

  void Crash() {
    record_.Add(id_ + " crashes");
    {
      const std::lock_guard lock(mutex_);
      up_ = false;
      loading_ = 0;
    }
    server_.reset();
  }

  void Restart() {
    server_ = MakeServer(port_);
    BeginIncarnation();
  }

  std::int64_t version() {
    const std::lock_guard lock(mutex_);
    return version_;
  }
  bool has_late_order() {
    const std::lock_guard lock(mutex_);
    return !late_.empty();
  }
  int orders() {
    const std::lock_guard lock(mutex_);
    return orders_;
  }
  int unanswered() {
    const std::lock_guard lock(mutex_);
    return unanswered_;
  }

 private:
  std::unique_ptr<Server> MakeServer(int port) {
    return std::make_unique<Server>(
        "127.0.0.1", port, [this](const Message& it) { return Handle(it); });
  }

  void BeginIncarnation() {
    const std::lock_guard lock(mutex_);
    up_ = true;
    sequence_ = 0;
    born_ = UnixMs();
    record_.Add(id_ + " starts with version " + std::to_string(version_));
    Register();
  }

  void Register() {
    store_.Put("servers", id_,
               R"({"service":"modelos","address":"127.0.0.1:)" +
                   std::to_string(port_) +
                   R"(","zone":"porto-a","version":"v1","slots":64,)"
                   R"("state":"ready","cold_left_ms":0,"stage":"both",)"
                   R"("models":[{"name":"m0","version":)" +
                   std::to_string(version_) +
                   R"(,"adapters":[]}],"sequence":)" +
                   std::to_string(sequence_) + R"(,"born":)" +
                   std::to_string(born_) + "}");
  }

  std::optional<std::string> Handle(const Message& request) {
    const std::string instance = request.Get("peridotgate-expect-instance");
    const std::lock_guard lock(mutex_);
    if (!instance.empty() && instance != id_) {
      return MakeResponse(421, "");
    }
    if (request.start_line.starts_with("GET /v1/report")) {
      return MakeResponse(
          200, R"({"stage":"both","models":[{"name":"m0","version":)" +
                   std::to_string(version_) + R"(,"adapters":[]}],"busy":)" +
                   (loading_ != 0 ? "true" : "false") + R"(,"sequence":)" +
                   std::to_string(sequence_) +
                   R"(,"waiting":0,"running":0,"kv_used":0,)"
                   R"("kv_total":138659,"handles":0,"born":)" +
                   std::to_string(born_) + "}");
    }
    if (request.start_line.starts_with("POST /v1/order")) {
      Order order;
      order.version = NumberIn(request.body, "version");
      order.expected = NumberIn(request.body, "expected");
      order.instance = instance;
      ++orders_;
      if (leaves_unanswered_ && unanswered_ == 0) {
        ++unanswered_;
        order.due = Clock::now() + kLate;
        late_.push_back(order);
        record_.Add(id_ + " leaves an order for version " +
                    std::to_string(order.version) + ", expected " +
                    std::to_string(order.expected) + ", unanswered");
        return std::nullopt;
      }
      return MakeResponse(CarryOut(order), "{}");
    }
    return Run(request);
  }

  // A request of a caller.
  std::string Run(const Message& request) {
    const std::string fields =
        "Peridotgate-Request-Id: " + request.Get("peridotgate-request-id") +
        "\r\nPeridotgate-Weight-Versions: " + std::to_string(version_) + "\r\n";
    const std::string expected = request.Get("peridotgate-expect-version");
    if (!expected.empty() && expected != std::to_string(version_)) {
      return MakeResponse(421, "", fields);
    }
    return MakeResponse(200, "id: 1\ndata: whole\n\n",
                        fields +
                            "Peridotgate-Server-Seal: seal\r\n"
                            "Content-Type: text/event-stream\r\n");
  }

  int CarryOut(const Order& order) {
    int status = 202;
    if (order.version == version_) {
      status = 200;
    } else if (loading_ != 0 || order.expected != sequence_) {
      status = 409;
    } else {
      loading_ = order.version;
      loaded_at_ = Clock::now() + kLoad;
      ++sequence_;
    }
    record_.Add(id_ + ": order for version " + std::to_string(order.version) +
                ", expected " + std::to_string(order.expected) + ": " +
                std::to_string(status));
    return status;
  }

  // Ends loads and carries out late orders.
  void Work() {
    while (!stopping_) {
      std::this_thread::sleep_for(Millis(10));
      const std::lock_guard lock(mutex_);
      const auto now = Clock::now();
      if (loading_ != 0 && now >= loaded_at_) {
        version_ = std::exchange(loading_, 0);
        Register();
      }
      if (!late_.empty() && now >= late_.front().due) {
        const Order order = late_.front();
        late_.erase(late_.begin());
        if (up_ && order.instance == id_) {
          record_.Add(id_ + ": a late order arrives");
          CarryOut(order);
        }
      }
    }
  }

  RowStore& store_;
  Record& record_;
  const std::string id_;
  std::mutex mutex_;
  int port_ = 0;
  bool up_ = false;
  std::int64_t version_ = 1;
  std::int64_t sequence_ = 0;
  std::int64_t born_ = 0;
  std::int64_t loading_ = 0;  // The version that is being loaded.
  Clock::time_point loaded_at_;
  std::vector<Order> late_;
  bool leaves_unanswered_ = false;
  int orders_ = 0;
  int unanswered_ = 0;
  std::atomic<bool> stopping_{false};
  std::unique_ptr<Server> server_;
  std::thread worker_;
};

void Name(RowStore& store, Record& record, int version) {
  store.Put("op", "version/m0",
            R"({"model":"m0","version":)" + std::to_string(version) + "}");
  record.Add("version " + std::to_string(version) + " is named");
}

std::string StreamRequest() {
  return "POST /m/a HTTP/1.1\r\nHost: m.example\r\nPeridotgate-Request-Id: " +
         NewId() +
         "\r\nPeridotgate-Model: m0\r\nPeridotgate-Token-Counts: 400,10\r\n"
         "Peridotgate-Prompt-Prefix: 5c1e07a2:300," +
         NewId().substr(0, 8) +
         ":100\r\nPeridotgate-Deadline-Ms: 4000\r\n"
         "Authorization: Token key-office\r\nContent-Length: 2\r\n\r\n{}";
}

// Callers that send a request to each gateway in turn, until destroyed.
class Callers {
 public:
  Callers(Record& record, std::vector<std::string> hosts)
      : record_(record),
        hosts_(std::move(hosts)),
        thread_([this] { Send(); }) {}
  ~Callers() { Stop(); }
  Callers(const Callers&) = delete;
  Callers& operator=(const Callers&) = delete;

  void Stop() {
    stopping_ = true;
    if (thread_.joinable()) {
      thread_.join();
    }
  }

  /** Records what was served since the last call. */
  void Report(const std::string& period) {
    record_.Add("requests " + period + ": served " +
                std::to_string(served_.exchange(0)) + " of " +
                std::to_string(sent_.exchange(0)));
  }

 private:
  void Send() {
    for (std::size_t i = 0; !stopping_; ++i) {
      const auto answer = Ask(hosts_[i % hosts_.size()], Gateway::CallersPort(),
                              StreamRequest(), Millis(4500));
      ++sent_;
      served_ += StatusOf(answer) == 200 ? 1 : 0;
      std::this_thread::sleep_for(kRequestPause);
    }
  }

  Record& record_;
  const std::vector<std::string> hosts_;
  std::atomic<bool> stopping_{false};
  std::atomic<int> sent_{0};
  std::atomic<int> served_{0};
  std::thread thread_;
};

int Run() {
  Record record("record.txt");
  RowStore store;
  store.Put("op", "config",
            R"({"version":1,"routes":[{"name":"r-1","host":"m.example",)"
            R"("prefix":"/m/","kind":"stream","timeout_ms":4000,"slo_ms":400,)"
            R"("priority":1,"service":"modelos","attempts":2,"public":false,)"
            R"("sticky":true,"can_resume":true,"gap_target_ms":300}],)"
            R"("services":[{"name":"modelos","health_path":"/health",)"
            R"("max_conns":370,"protocol":"h1","tls":false,"engine":{)"
            R"("slots":64,"kv_tokens":138659,"kv_token_bytes":18432,)"
            R"("link_mbps":130000.0,"models":[{"name":"m0"}]}}],)"
            R"("limits":{"max_header_bytes":16384,"max_body_bytes":4194304,)"
            R"("header_timeout_ms":3000,"idle_timeout_ms":15000},)"
            R"("tenants":[{"name":"office","api_keys":["key-office"],)"
            R"("priority":1,"dedicated":false}]})");
  Name(store, record, 1);
  std::vector<std::unique_ptr<Replica>> replicas;
  replicas.reserve(kReplicas);
  for (int i = 0; i < kReplicas; ++i) {
    replicas.push_back(
        std::make_unique<Replica>(store, record, "i-" + std::to_string(i + 1)));
  }
  const std::vector<std::string> hosts = {"127.0.0.2", "127.0.0.3",
                                          "127.0.0.4"};
  std::vector<std::unique_ptr<Gateway>> gateways;
  gateways.reserve(hosts.size());
  for (const std::string& host : hosts) {
    gateways.push_back(std::make_unique<Gateway>(
        host, "front-" + host, store.port(), hosts, kMemoryMb, kDescriptors));
  }
  for (const auto& it : gateways) {
    if (!it->WaitUntilReady(Millis(15000))) {
      record.Add("a gateway did not get ready");
      return 2;
    }
  }
  Callers callers(record, hosts);
  std::this_thread::sleep_for(Millis(5000));
  callers.Report("before the first order");
  const auto count = [&](std::int64_t version) {
    return std::count_if(replicas.begin(), replicas.end(),
                         [&](auto& it) { return it->version() >= version; });
  };
  const auto wait_for = [&](std::int64_t version, Millis limit) {
    const auto end = Clock::now() + limit;
    while (count(version) < kReplicas && Clock::now() < end) {
      std::this_thread::sleep_for(Millis(20));
    }
    return count(version) == kReplicas;
  };
  if (!WithoutTrouble()) {
    for (int i = 0; i < kCrashed; ++i) {
      replicas[static_cast<std::size_t>(i)]->LeaveFirstOrderUnanswered();
    }
  }
  const auto late_orders_until = Clock::now() + kLateOrdersFor;
  Name(store, record, 2);
  // The next version is named before this one is in place everywhere.
  while (count(2) < kCrashed + 1 && Clock::now() < late_orders_until) {
    std::this_thread::sleep_for(Millis(20));
  }
  Name(store, record, 3);
  const bool all = wait_for(3, Millis(20000));
  for (const auto& it : replicas) {
    it->AnswerAll();
  }
  if (!all) {
    record.Add("version 3 was not in place before the crash");
    return 2;
  }
  if (!WithoutTrouble()) {
    std::vector<Replica*> crashed;
    for (const auto& it : replicas) {
      if (it->has_late_order()) {
        crashed.push_back(it.get());
      }
    }
    if (crashed.size() < static_cast<std::size_t>(kCrashed)) {
      record.Add("the late orders were carried out before the crash");
      return 2;
    }
    for (Replica* it : crashed) {
      it->Crash();
    }
    std::this_thread::sleep_for(kDown);
    for (Replica* it : crashed) {
      it->Restart();
    }
  }
  // Until twice the time has passed since the last late order.
  std::this_thread::sleep_for(kLate);
  callers.Report("until the late orders are carried out");
  std::this_thread::sleep_for(Millis(2 * kVersionMs + kSettleMs));
  callers.Stop();
  callers.Report("afterwards, in calm");
  int orders = 0;
  int unanswered = 0;
  for (std::size_t i = 0; i < replicas.size(); ++i) {
    record.Add("i-" + std::to_string(i + 1) + " has version " +
               std::to_string(replicas[i]->version()));
    orders += replicas[i]->orders();
    unanswered += replicas[i]->unanswered();
  }
  record.Add("orders " + std::to_string(orders) + ", of these unanswered " +
             std::to_string(unanswered));
  const auto outdated = kReplicas - count(3);
  record.Add(std::to_string(outdated) + " of " + std::to_string(kReplicas) +
             " replicas have an older version");
  if (outdated >= kMinOutdated && 10 * outdated > kReplicas) {
    record.Add("BROKEN: VERSION");
    return 1;
  }
  record.Add("held");
  return 0;
}

}  // namespace
}  // namespace review

int main() {
  return review::Run();
}
