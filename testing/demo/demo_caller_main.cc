// Sends requests of every kind of both demo deployments through the entries,
// checks the responses and prints latencies.
#include <algorithm>
#include <chrono>
#include <cstdio>
#include <string>
#include <vector>

#include <spdlog/fmt/fmt.h>
#include <CLI/CLI.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/json.hpp>

#include "runtime/http.h"

namespace peridotgate::demo {
namespace {

namespace asio = boost::asio;
namespace http = runtime::http;
namespace json = boost::json;
using Clock = std::chrono::steady_clock;

constexpr std::chrono::milliseconds kTimeout{30000};
constexpr std::size_t kPromptPrefixBytes = 24000;
constexpr int kRounds = 5;

/** One kind of request of a deployment. */
struct Kind {
  std::string organisation;
  std::string key;
  std::string name;
  std::string path;
  bool streamed = false;
  bool unsafe_call = false;
};

struct Keys {
  std::string brazos;
  std::string tapetes;
};

std::vector<Kind> MakeKinds(const Keys& keys) {
  const std::string chat = "/v1/chat/completions";
  return {
      {"brazos", keys.brazos, "sorting", chat, false, false},
      {"brazos", keys.brazos, "quote", chat, true, false},
      {"brazos", keys.brazos, "order-placement", "/services/desk/orders", false,
       true},
      {"brazos", keys.brazos, "order-lookup", "/services/desk/orders/7", false,
       false},
      {"tapetes", keys.tapetes, "clause-check", chat, false, false},
      {"tapetes", keys.tapetes, "visit-note", chat, true, false},
      {"tapetes", keys.tapetes, "book-swap", "/services/desk/swaps", false,
       true},
      {"tapetes", keys.tapetes, "lookup", "/services/desk/routes/3", false,
       false},
  };
}

std::string ChatBody(const Kind& kind, int round) {
  const std::string shared_prefix(kPromptPrefixBytes, 's');
  return json::serialize(json::object{
      {"model", "horn-1"},
      {"stream", kind.streamed},
      {"max_tokens", 32},
      {"messages",
       json::array{
           {{"role", "system"}, {"content", kind.organisation + shared_prefix}},
           {{"role", "user"}, {"content", fmt::format("batch {}", round)}}}}});
}

// Receives a stream; records when the first data arrived and whether the stream
// is complete.
class StreamSink : public runtime::HttpSink {
 public:
  void OnHead(unsigned status, std::string_view /*type*/) override {
    status_ = status;
  }
  asio::awaitable<bool> OnData(std::string_view data) override {
    if (text_.empty()) {
      first_data_time_ = Clock::now();
    }
    text_ += data;
    co_return true;
  }
  bool complete() const {
    return status_ == 200 && text_.ends_with("data: [DONE]\n\n");
  }
  Clock::time_point first_data_time() const { return first_data_time_; }

 private:
  unsigned status_ = 0;
  std::string text_;
  Clock::time_point first_data_time_;
};

class Caller {
 public:
  Caller(asio::io_context& context, const std::vector<std::string>& entries)
      : context_(context) {
    for (const std::string& it : entries) {
      clients_.push_back(std::make_unique<runtime::HttpClient>(
          context, runtime::ParseEndpoint(it).value()));
    }
  }

  asio::awaitable<void> Run(std::vector<Kind> kinds) {
    for (const Kind& kind : kinds) {
      std::vector<double> latencies_ms;
      int succeeded = 0;
      for (int round = 0; round < kRounds; ++round) {
        const double ms = co_await SendOne(kind, round);
        succeeded += ms >= 0 ? 1 : 0;
        latencies_ms.push_back(ms);
      }
      std::sort(latencies_ms.begin(), latencies_ms.end());
      failures_ += kRounds - succeeded;
      std::printf(
          "%-8s %-16s %d of %d succeeded, median %.2f ms, worst %.2f ms\n",
          kind.organisation.c_str(), kind.name.c_str(), succeeded, kRounds,
          latencies_ms[latencies_ms.size() / 2], latencies_ms.back());
    }
  }

  int failures() const { return failures_; }

 private:
  runtime::HttpRequest BuildRequest(const Kind& kind, int round) const {
    const bool service = kind.path.starts_with("/services/");
    const bool lookup = service && !kind.unsafe_call;
    auto request = runtime::MakeRequest(
        lookup ? http::verb::get : http::verb::post, kind.path,
        lookup    ? ""
        : service ? "{\"lot\":7}"
                  : ChatBody(kind, round));
    request.set(http::field::authorization, "Bearer " + kind.key);
    request.set("X-Peridotgate-Kind", kind.name);
    if (kind.unsafe_call) {
      request.set("Idempotency-Key", fmt::format("demo-{}", round));
    }
    return request;
  }

  // Returns the milliseconds to the first byte (streams) or the whole response;
  // a negative value if the request failed or the response was incomplete.
  asio::awaitable<double> SendOne(const Kind& kind, int round) {
    auto& client = *clients_[static_cast<std::size_t>(round) % clients_.size()];
    const auto start = Clock::now();
    auto since = [&](Clock::time_point at) {
      return std::chrono::duration<double, std::milli>(at - start).count();
    };
    if (kind.streamed) {
      StreamSink sink;
      auto result =
          co_await client.Stream(BuildRequest(kind, round), sink, kTimeout);
      co_return result&& sink.complete() ? since(sink.first_data_time()) : -1.0;
    }
    auto response = co_await client.Fetch(BuildRequest(kind, round), kTimeout);
    if (!response || response.value().result_int() != 200) {
      if (response) {
        std::printf("%s\n", response.value().body().c_str());
      }
      co_return -1.0;
    }
    co_return since(Clock::now());
  }

  asio::io_context& context_;
  std::vector<std::unique_ptr<runtime::HttpClient>> clients_;
  int failures_ = 0;
};

}  // namespace
}  // namespace peridotgate::demo

int main(int argc, char** argv) {
  std::vector<std::string> entries;
  peridotgate::demo::Keys keys;
  CLI::App app("demo-caller");
  app.add_option("--entry", entries)->required();
  app.add_option("--brazos-key", keys.brazos)->required();
  app.add_option("--tapetes-key", keys.tapetes)->required();
  CLI11_PARSE(app, argc, argv);
  boost::asio::io_context context(1);
  peridotgate::demo::Caller caller(context, entries);
  boost::asio::co_spawn(context, caller.Run(peridotgate::demo::MakeKinds(keys)),
                        [](const std::exception_ptr& e) {
                          if (e) {
                            std::rethrow_exception(e);
                          }
                        });
  context.run();
  std::printf("%d requests failed\n", caller.failures());
  return caller.failures() == 0 ? 0 : 1;
}
