// A stand-in for a model engine: completions as JSON or server-sent events that
// can resume at a position, and a prefix cache that publishes events.
#include <cstdlib>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include <spdlog/fmt/fmt.h>
#include <CLI/CLI.hpp>

#include "runtime/inbox.h"
#include "standins/engine_model.h"
#include "standins/prompt_queue.h"
#include "standins/run.h"

namespace peridotgate::standins {
namespace {

namespace json = boost::json;

struct Options {
  std::string listen;
  std::int64_t weights_version = 1;
  std::size_t blocks = 512;
  std::int64_t prefill_us_per_piece = 20000;
  std::int64_t token_us = 2000;
  std::int64_t load_us = 300000;
  bool check_fencing = false;
  std::string crash_on;
};

class Engine {
 public:
  Engine(asio::io_context& context, Options options)
      : context_(context),
        options_(std::move(options)),
        incarnation_(static_cast<std::int64_t>(std::random_device()() | 1U)),
        prompts_(context,
                 std::chrono::microseconds(options_.prefill_us_per_piece)),
        cache_(options_.blocks,
               [this](const BlockCache::Change& it) { PublishChange(it); }) {}

  asio::awaitable<void> Handle(HttpRequest request, HttpExchange& exchange) {
    const std::string_view path = request.target();
    if (path == "/cache_events") {
      co_await ServeEvents(exchange);
    } else if (path == "/orders") {
      co_await HandleOrder(request, exchange);
    } else if (path == "/prompts") {
      co_await exchange.Send(runtime::MakeResponse(
          http::status::ok, json::serialize(prompts_.ToJson())));
    } else if (path == "/speed") {
      co_await HandleSpeed(request, exchange);
    } else if (path == "/service") {
      co_await exchange.Send(
          runtime::MakeResponse(http::status::ok, json::serialize(work_us_)));
    } else if (path == "/v1/chat/completions" || path == "/v1/completions") {
      co_await HandleCompletion(request, exchange);
    } else {
      co_await exchange.Send(
          runtime::MakeResponse(http::status::not_found, "{}"));
    }
  }

 private:
  struct Completion {
    std::string id;
    std::string organisation;
    std::string prompt;
    std::int64_t tokens = 16;
    std::int64_t resume_position = 0;
    std::int64_t priority = 0;
    std::size_t pieces = 0;
    std::size_t cached_pieces = 0;
    bool chat = true;
  };

  void PublishChange(const BlockCache::Change& it) {
    json::object event;
    event["seq"] = next_event_++;
    event["event"] = it.request_id.empty() ? "removed" : "stored";
    event["block"] = static_cast<std::int64_t>(it.block);
    event["request_id"] = it.request_id;
    event["piece"] = it.piece;
    BroadcastEvent(event);
  }

  void BroadcastEvent(const json::object& event) {
    const std::string text = "data: " + json::serialize(event) + "\n\n";
    for (auto* it : subscribers_) {
      it->Put(text);
    }
  }

  asio::awaitable<void> ServeEvents(HttpExchange& exchange) {
    runtime::Inbox<std::string> inbox(context_);
    json::object started{{"seq", next_event_ - 1},
                         {"event", "started"},
                         {"incarnation", incarnation_},
                         {"weights_version", options_.weights_version}};
    co_await exchange.BeginStream(
        runtime::MakeResponse(http::status::ok, "", "text/event-stream"));
    const std::string first = "data: " + json::serialize(started) + "\n\n";
    bool alive = co_await exchange.Write(first);
    subscribers_.push_back(&inbox);
    while (alive) {
      auto event = co_await inbox.Next(std::chrono::seconds(1));
      const std::string text = event.value_or(": alive\n\n");
      alive = co_await exchange.Write(text);
    }
    std::erase(subscribers_, &inbox);
  }

  // Microseconds of the monotonic clock, comparable between processes of one
  // machine.
  static std::int64_t NowUs() {
    return std::chrono::duration_cast<std::chrono::microseconds>(
               std::chrono::steady_clock::now().time_since_epoch())
        .count();
  }

  // GET returns the orders received so far. POST executes an order; its fencing
  // token is checked only with --check-fencing.
  asio::awaitable<void> HandleOrder(const HttpRequest& request,
                                    HttpExchange& exchange) {
    if (request.method() == http::verb::get) {
      const json::object received{{"orders", orders_}};
      co_await exchange.Send(
          runtime::MakeResponse(http::status::ok, json::serialize(received)));
      co_return;
    }
    json::value order = json::parse(request.body());
    const auto token = order.at("fencing_token").to_number<std::int64_t>();
    if (options_.check_fencing && token < highest_token_) {
      co_await exchange.Send(
          runtime::MakeResponse(http::status::conflict, "{}"));
      co_return;
    }
    highest_token_ = std::max(highest_token_, token);
    order.as_object()["began_us"] = NowUs();
    const std::size_t index = orders_.size();
    orders_.push_back(order);
    co_await Sleep(context_, std::chrono::microseconds(options_.load_us));
    LoadWeights(order.at("weights_version").to_number<std::int64_t>());
    orders_.at(index).as_object()["ended_us"] = NowUs();
    co_await exchange.Send(runtime::MakeResponse(http::status::ok, "{}"));
  }

  // POST {"slowdown": N} makes all later work take N times as long. Returns the
  // number of calls in flight.
  asio::awaitable<void> HandleSpeed(const HttpRequest& request,
                                    HttpExchange& exchange) {
    if (request.method() == http::verb::post) {
      const json::value body = json::parse(request.body());
      slowdown_ = body.at("slowdown").to_number<std::int64_t>();
      prompts_.SetSlowdown(slowdown_);
    }
    const json::object state{{"in_flight", in_flight_}};
    co_await exchange.Send(
        runtime::MakeResponse(http::status::ok, json::serialize(state)));
  }

  std::chrono::microseconds TokenTime() const {
    return std::chrono::microseconds(options_.token_us * slowdown_);
  }

  // New weights act like an engine restart: they clear the cache and begin a
  // new incarnation.
  void LoadWeights(std::int64_t version) {
    options_.weights_version = version;
    incarnation_ = static_cast<std::int64_t>(std::random_device()() | 1U);
    cache_ = BlockCache(options_.blocks, [this](const BlockCache::Change& it) {
      PublishChange(it);
    });
    json::object started{{"seq", next_event_++},
                         {"event", "started"},
                         {"incarnation", incarnation_},
                         {"weights_version", version}};
    BroadcastEvent(started);
  }

  asio::awaitable<void> HandleCompletion(const HttpRequest& request,
                                         HttpExchange& exchange) {
    boost::system::error_code ec;
    json::value value = json::parse(request.body(), ec);
    if (ec || !value.is_object()) {
      co_await exchange.Send(
          runtime::MakeResponse(http::status::bad_request, "{}"));
      co_return;
    }
    const json::object& body = value.get_object();
    Completion completion = ParseCompletion(request, body);
    ++in_flight_;
    co_await Prefill(completion);
    const json::value* stream = body.if_contains("stream");
    if (stream != nullptr && stream->is_bool() && stream->get_bool()) {
      co_await SendStream(completion, exchange);
    } else {
      co_await SendResponse(completion, exchange);
    }
    --in_flight_;
  }

  Completion ParseCompletion(const HttpRequest& request,
                             const json::object& body) {
    Completion completion;
    completion.id = std::string(request["x-request-id"]);
    completion.organisation = std::string(request["x-cache-salt"]);
    completion.prompt = PromptOf(body);
    completion.chat = request.target() == "/v1/chat/completions";
    if (const json::value* it = body.if_contains("max_tokens")) {
      completion.tokens = it->to_number<std::int64_t>();
    }
    if (const json::value* it = body.if_contains("priority")) {
      completion.priority = it->to_number<std::int64_t>();
    }
    const std::string resume(request["x-resume-position"]);
    completion.resume_position = resume.empty() ? 0 : std::stoll(resume);
    auto chain = routing::PrefixKeys({std::string_view(request["x-cache-salt"]),
                                      "", "", options_.weights_version},
                                     completion.prompt);
    completion.pieces = chain.size();
    completion.cached_pieces = cache_.LookupOrInsert(chain, completion.id);
    return completion;
  }

  // Adds to the compute time of the organisation, which `/service` returns.
  void RecordWork(const Completion& completion, std::int64_t micros) {
    json::value& it = work_us_[completion.organisation];
    it = (it.is_null() ? 0 : it.to_number<std::int64_t>()) + micros;
  }

  asio::awaitable<void> Prefill(const Completion& completion) {
    const auto missing =
        static_cast<std::int64_t>(completion.pieces - completion.cached_pieces);
    RecordWork(completion, options_.prefill_us_per_piece * missing);
    co_await prompts_.Compute(completion.priority, missing);
  }

  json::object MakeUsage(const Completion& it) const {
    const auto prompt = routing::EstimateTokens(it.prompt);
    const auto cached =
        static_cast<std::int64_t>(it.cached_pieces * routing::kTokensPerPiece);
    return {{"prompt_tokens", prompt},
            {"completion_tokens", it.tokens},
            {"total_tokens", prompt + it.tokens},
            {"prompt_tokens_details", {{"cached_tokens", cached}}}};
  }

  static json::object MakeChoice(const Completion& it,
                                 std::string_view key,
                                 std::string text,
                                 bool last) {
    json::object choice{{"index", 0}};
    if (it.chat) {
      choice[key] = json::object{{"role", "assistant"}, {"content", text}};
    } else {
      choice["text"] = text;
    }
    choice["finish_reason"] = last ? json::value("stop") : json::value();
    return choice;
  }

  asio::awaitable<void> SendStream(const Completion& it,
                                   HttpExchange& exchange) {
    co_await exchange.BeginStream(
        runtime::MakeResponse(http::status::ok, "", "text/event-stream"));
    if (!options_.crash_on.empty() &&
        it.prompt.find(options_.crash_on) != std::string::npos) {
      std::_Exit(kCrashStatus);
    }
    for (std::int64_t i = it.resume_position; i < it.tokens; ++i) {
      RecordWork(it, options_.token_us);
      co_await Sleep(context_, TokenTime());
      const bool last = i + 1 == it.tokens;
      json::object chunk{
          {"id", it.id},
          {"object", it.chat ? "chat.completion.chunk" : "text_completion"},
          {"choices",
           json::array{MakeChoice(it, "delta", TokenAt(it.prompt, i), last)}}};
      if (last) {
        chunk["usage"] = MakeUsage(it);
      }
      const std::string text = "data: " + json::serialize(chunk) + "\n\n";
      if (!co_await exchange.Write(text)) {
        co_return;
      }
    }
    co_await exchange.Write("data: [DONE]\n\n");
    co_await exchange.EndStream();
  }

  asio::awaitable<void> SendResponse(const Completion& it,
                                     HttpExchange& exchange) {
    RecordWork(it, options_.token_us * it.tokens);
    co_await Sleep(context_, TokenTime() * it.tokens);
    std::string text;
    for (std::int64_t i = 0; i < it.tokens; ++i) {
      text += TokenAt(it.prompt, i);
    }
    json::object body{
        {"id", it.id},
        {"object", it.chat ? "chat.completion" : "text_completion"},
        {"choices", json::array{MakeChoice(it, "message", text, true)}},
        {"usage", MakeUsage(it)}};
    co_await exchange.Send(
        runtime::MakeResponse(http::status::ok, json::serialize(body)));
  }

  asio::io_context& context_;
  Options options_;
  std::int64_t incarnation_;
  std::int64_t next_event_ = 1;
  std::int64_t highest_token_ = 0;
  json::array orders_;
  std::int64_t slowdown_ = 1;
  std::int64_t in_flight_ = 0;
  json::object work_us_;  // Microseconds by organisation.
  std::vector<runtime::Inbox<std::string>*> subscribers_;
  PromptQueue prompts_;
  BlockCache cache_;
};

}  // namespace
}  // namespace peridotgate::standins

int main(int argc, char** argv) {
  peridotgate::standins::Options options;
  CLI::App app("standin-engine");
  app.add_option("--listen", options.listen)->required();
  app.add_option("--weights-version", options.weights_version);
  app.add_option("--blocks", options.blocks);
  app.add_option("--prefill-us-per-piece", options.prefill_us_per_piece);
  app.add_option("--token-us", options.token_us);
  app.add_option("--load-us", options.load_us);
  app.add_flag("--check-fencing", options.check_fencing);
  app.add_option("--crash-on", options.crash_on,
                 "crash when an answer to a prompt with this text begins");
  CLI11_PARSE(app, argc, argv);
  boost::asio::io_context context(1);
  peridotgate::standins::Engine engine(context, options);
  return peridotgate::standins::Run(
      context, options.listen,
      [&](peridotgate::runtime::HttpRequest request,
          peridotgate::runtime::HttpExchange& exchange) {
        return engine.Handle(std::move(request), exchange);
      });
}
