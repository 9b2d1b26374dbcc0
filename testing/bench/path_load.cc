#include "bench/path_load.h"

#include <algorithm>
#include <memory>
#include <random>

#include <spdlog/fmt/fmt.h>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "runtime/http.h"

namespace peridotgate::bench {
namespace {

namespace asio = boost::asio;
using Clock = std::chrono::steady_clock;
using Millis = std::chrono::duration<double, std::milli>;

constexpr std::uint32_t kSeed = 7;
constexpr std::chrono::milliseconds kStartSpread{1000};
constexpr std::chrono::milliseconds kIdleTimeout{60000};
constexpr std::chrono::milliseconds kOpenPollPeriod{10};
constexpr std::chrono::seconds kOpenTimeout{30};
constexpr unsigned kOk = 200;

// Counts the events of one answer and calls `on_first` at the first data.
class StreamSink : public runtime::HttpSink {
 public:
  explicit StreamSink(std::function<void()> on_first)
      : on_first_(std::move(on_first)) {}

  void OnHead(unsigned status, std::string_view /*content_type*/) override {
    ok_ = status == kOk;
  }

  asio::awaitable<bool> OnData(std::string_view data) override {
    if (bytes_ == 0 && ok_) {
      on_first_();
    }
    bytes_ += data.size();
    for (const char it : data) {
      events_ += last_ == '\n' && it == '\n' ? 1 : 0;
      last_ = it;
    }
    co_return true;
  }

  bool ok() const { return ok_; }
  std::uint64_t bytes() const { return bytes_; }
  /** The number of events without the one that ends the answer. */
  std::uint64_t tokens() const { return events_ > 0 ? events_ - 1 : 0; }

 private:
  std::function<void()> on_first_;
  bool ok_ = false;
  char last_ = '\0';
  std::uint64_t bytes_ = 0;
  std::uint64_t events_ = 0;
};

class Load {
 public:
  explicit Load(const LoadOptions& options) : options_(options) {
    for (std::size_t i = 0; i < options.streams; ++i) {
      const auto& server = options.servers[i % options.servers.size()];
      clients_.push_back(
          std::make_unique<runtime::HttpClient>(context_, server));
    }
  }

  LoadResult Run() {
    std::mt19937 random(kSeed);
    std::uniform_int_distribution<std::int64_t> offset(0, kStartSpread.count());
    const auto started = Clock::now();
    stop_at_ = started + options_.time;
    for (const auto& it : clients_) {
      const std::chrono::milliseconds wait(offset(random));
      asio::co_spawn(context_, RunStream(*it, wait), asio::detached);
    }
    context_.run();
    result_.seconds =
        std::chrono::duration<double>(Clock::now() - started).count();
    return std::move(result_);
  }

  bool Hold(const std::function<void()>& while_open) {
    for (const auto& it : clients_) {
      asio::co_spawn(context_, RunRequest(*it), asio::detached);
    }
    const auto deadline = Clock::now() + kOpenTimeout;
    while (result_.first_token_ms.size() < options_.streams) {
      if (result_.failures > 0 || Clock::now() > deadline) {
        return false;
      }
      context_.run_for(kOpenPollPeriod);
    }
    while_open();
    return true;
  }

 private:
  runtime::HttpRequest MakeChatRequest() const {
    auto request = runtime::MakeRequest(
        runtime::http::verb::post, "/v1/chat/completions",
        fmt::format(R"({{"model":"{}","stream":true,"max_tokens":{},)"
                    R"("messages":[{{"role":"user","content":"buttons"}}]}})",
                    options_.model, options_.tokens));
    request.set(runtime::http::field::authorization, "Bearer " + options_.key);
    request.set("X-Peridotgate-Kind", options_.model);
    return request;
  }

  asio::awaitable<void> RunStream(runtime::HttpClient& client,
                                  std::chrono::milliseconds wait) {
    asio::steady_timer timer(context_, wait);
    co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
    std::size_t sent = 0;
    while (sent < options_.requests || Clock::now() < stop_at_) {
      ++sent;
      co_await RunRequest(client);
    }
  }

  asio::awaitable<void> RunRequest(runtime::HttpClient& client) {
    const auto sent = Clock::now();
    StreamSink sink([&] {
      result_.first_token_ms.push_back(Millis(Clock::now() - sent).count());
    });
    auto done = co_await client.Stream(MakeChatRequest(), sink, kIdleTimeout,
                                       runtime::Connection::kKept);
    const bool complete =
        done && sink.ok() &&
        sink.tokens() == static_cast<std::uint64_t>(options_.tokens);
    (complete ? result_.answers : result_.failures) += 1;
    result_.tokens += sink.tokens();
    result_.bytes += sink.bytes();
  }

  LoadOptions options_;
  asio::io_context context_{1};
  std::vector<std::unique_ptr<runtime::HttpClient>> clients_;
  Clock::time_point stop_at_;
  LoadResult result_;
};

}  // namespace

LoadResult RunLoad(const LoadOptions& options) {
  return Load(options).Run();
}

bool HoldStreams(const LoadOptions& options,
                 const std::function<void()>& while_open) {
  return Load(options).Hold(while_open);
}

double Quantile(std::vector<double> values, double ratio) {
  if (values.empty()) {
    return 0;
  }
  const auto index =
      static_cast<std::size_t>(ratio * static_cast<double>(values.size() - 1));
  std::nth_element(values.begin(),
                   values.begin() + static_cast<std::ptrdiff_t>(index),
                   values.end());
  return values[index];
}

}  // namespace peridotgate::bench
