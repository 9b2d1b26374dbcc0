// Measures the latency of claims against the platform stand-in, at one rate and
// one limit of claims per transaction. Prints one JSON line.
#include <algorithm>
#include <chrono>
#include <cstdio>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include <spdlog/fmt/fmt.h>
#include <CLI/CLI.hpp>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json.hpp>

#include "agent/claims.h"

namespace peridotgate::bench {
namespace {

namespace asio = boost::asio;
namespace json = boost::json;
using Clock = std::chrono::steady_clock;

constexpr std::size_t kChannelCapacity = 1 << 16;
constexpr std::chrono::milliseconds kTimeout{5000};
constexpr std::chrono::milliseconds kPollPeriod{20};

struct Options {
  std::string table;
  std::size_t batch = 50;
  std::int64_t rate = 500;
  std::int64_t seconds = 5;
};

double Quantile(std::vector<double>& sorted, double q) {
  const auto last = static_cast<double>(sorted.size() - 1);
  return sorted[static_cast<std::size_t>(q * last)];
}

// Sends claims at a constant rate, without waiting for earlier answers.
class ClaimLoad {
 public:
  explicit ClaimLoad(const Options& options)
      : options_(options),
        duty_("platform"),
        answers_(duty_,
                 kChannelCapacity,
                 [this](agent::ClaimAnswer&& it) { OnAnswer(it); }),
        table_(duty_.context(),
               runtime::ParseEndpoint(options.table).value(),
               kTimeout),
        claims_(duty_, table_, answers_, metrics_, {"bench", options.batch}) {}

  void Run() {
    asio::co_spawn(duty_.context(), SendClaims(), asio::detached);
    while (!all_sent_ || !started_.empty()) {
      duty_.context().run_for(kPollPeriod);
    }
  }

  std::string ToJson() {
    std::sort(latencies_ms_.begin(), latencies_ms_.end());
    const std::uint64_t transactions =
        metrics_.GetCounter("peridotgate_agent_table_transactions_total")
            .value();
    const auto claims = static_cast<double>(latencies_ms_.size());
    json::object line{
        {"batch", options_.batch},
        {"rate", options_.rate},
        {"claims", latencies_ms_.size()},
        {"claimed", claimed_},
        {"claims_per_s", claims / static_cast<double>(options_.seconds)},
        {"transactions", transactions},
        {"median_ms", Quantile(latencies_ms_, 0.5)},
        {"p99_ms", Quantile(latencies_ms_, 0.99)}};
    return json::serialize(line);
  }

 private:
  asio::awaitable<void> SendClaims() {
    const auto interval =
        std::chrono::nanoseconds(std::chrono::seconds(1)) / options_.rate;
    const std::int64_t n = options_.rate * options_.seconds;
    const auto start = Clock::now();
    asio::steady_timer timer(duty_.context());
    for (std::int64_t i = 0; i < n; ++i) {
      timer.expires_at(start + i * interval);
      co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
      agent::ClaimRequest request;
      request.id.request_id = coordination::NewId();
      request.key = {"brazos", "order-placement",
                     coordination::ToHex(request.id.request_id)};
      request.body_digest = "digest";
      request.attempt_token = coordination::NewId();
      started_[request.id] = Clock::now();
      claims_.OnCommand(std::move(request));
    }
    all_sent_ = true;
  }

  void OnAnswer(const agent::ClaimAnswer& answer) {
    const auto it = started_.find(answer.id);
    const std::chrono::duration<double, std::milli> latency =
        Clock::now() - it->second;
    latencies_ms_.push_back(latency.count());
    claimed_ += answer.outcome == agent::ClaimOutcome::kClaimed ? 1 : 0;
    started_.erase(it);
  }

  Options options_;
  runtime::Metrics metrics_;
  runtime::Duty duty_;
  runtime::Port<agent::ClaimAnswer> answers_;
  platform::HttpTable table_;
  agent::Claims claims_;
  std::unordered_map<agent::AttemptId, Clock::time_point> started_;
  std::vector<double> latencies_ms_;
  std::int64_t claimed_ = 0;
  bool all_sent_ = false;
};

}  // namespace
}  // namespace peridotgate::bench

int main(int argc, char** argv) {
  peridotgate::bench::Options options;
  CLI::App app("claims-bench");
  app.add_option("--table", options.table, "address of standin-platform")
      ->required();
  app.add_option("--batch", options.batch,
                 "maximum number of writes in a transaction");
  app.add_option("--rate", options.rate, "claims per second");
  app.add_option("--seconds", options.seconds);
  CLI11_PARSE(app, argc, argv);
  peridotgate::bench::ClaimLoad load(options);
  load.Run();
  std::printf("%s\n", load.ToJson().c_str());
  return 0;
}
