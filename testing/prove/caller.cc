#include "prove/caller.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json.hpp>

#include "standins/engine_model.h"

namespace peridotgate::prove {
namespace {

namespace http = runtime::http;
namespace json = boost::json;
using runtime::HttpRequest;

constexpr std::chrono::milliseconds kCallTimeout{30000};
constexpr std::chrono::milliseconds kIdleTimeout{30000};

void Authorise(HttpRequest& request,
               const Organisation& organisation,
               const std::string& kind) {
  request.set(http::field::authorization, "Bearer " + organisation.key);
  request.set("X-Peridotgate-Kind", kind);
}

json::object ChatBody(const ChatCall& call) {
  json::array messages;
  for (const std::string& it : call.leading) {
    messages.push_back({{"role", "system"}, {"content", it}});
  }
  messages.push_back({{"role", "user"}, {"content", call.prompt}});
  return {{"model", "horn-1"},
          {"stream", true},
          {"max_tokens", call.tokens},
          {"messages", std::move(messages)}};
}

std::string StringField(const json::value& value, std::string_view key) {
  const json::object* object = value.if_object();
  const json::value* it =
      object == nullptr ? nullptr : object->if_contains(key);
  return it != nullptr && it->is_string() ? json::value_to<std::string>(*it)
                                          : std::string();
}

json::value Parse(std::string_view text) {
  boost::system::error_code ec;
  json::value value = json::parse(text, ec);
  return ec ? json::value() : value;
}

void ParseProblem(CallResult& result) {
  const json::value problem = Parse(result.body);
  result.outcome = StringField(problem, "outcome");
  result.title = StringField(problem, "title");
}

// Parses server-sent events like a client library.
class ChatSink : public runtime::HttpSink {
 public:
  ChatSink(asio::io_context& context, const ChatCall& call, StreamResult& out)
      : context_(context), call_(call), out_(out) {}

  void OnHead(unsigned status, std::string_view /*type*/) override {
    out_.status = status;
  }

  asio::awaitable<bool> OnData(std::string_view data) override {
    constexpr unsigned kOk = 200;
    buf_ += data;
    if (out_.status != kOk) {
      co_return true;
    }
    std::size_t end = 0;
    while ((end = buf_.find("\n\n")) != std::string::npos) {
      ParseEvent(buf_.substr(0, end));
      buf_.erase(0, end + 2);
      if (ShouldHangUp()) {
        co_return false;
      }
    }
    if (call_.read_pause.count() > 0) {
      asio::steady_timer timer(context_, call_.read_pause);
      co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
    }
    co_return true;
  }

  const std::string& rest() const { return buf_; }

 private:
  bool ShouldHangUp() const {
    return call_.hang_up_after >= 0 &&
           static_cast<std::int64_t>(out_.texts.size()) >= call_.hang_up_after;
  }

  void ParseEvent(const std::string& event) {
    if (out_.done || out_.error) {
      out_.text_after_done += event;
      return;
    }
    std::string data;
    bool error = false;
    std::string_view rest = event;
    while (!rest.empty()) {
      const std::size_t end = rest.find('\n');
      const std::string_view line = rest.substr(0, end);
      rest = end == std::string_view::npos ? "" : rest.substr(end + 1);
      if (line.starts_with("id: ")) {
        out_.last_event_id = line.substr(4);
      } else if (line.starts_with("data: ")) {
        data = line.substr(6);
      } else if (line == "event: error") {
        error = true;
      }
    }
    if (error) {
      out_.error = true;
      out_.outcome = StringField(Parse(data), "outcome");
    } else if (data == "[DONE]") {
      out_.done = true;
    } else {
      out_.texts.push_back(ChunkText(data));
    }
  }

  static std::string ChunkText(const std::string& data) {
    const json::value chunk = Parse(data);
    const json::value* it =
        chunk.is_object() ? chunk.get_object().if_contains("choices") : nullptr;
    if (it == nullptr || !it->is_array() || it->get_array().empty()) {
      return "?";
    }
    const json::value& choice = it->get_array().front();
    const json::value* delta =
        choice.is_object() ? choice.get_object().if_contains("delta") : nullptr;
    return delta == nullptr ? "?" : StringField(*delta, "content");
  }

  asio::io_context& context_;
  const ChatCall& call_;
  StreamResult& out_;
  std::string buf_;
};

}  // namespace

Organisation Brazos() {
  return {"brazos", "brazos-demo-key", "order-placement", "order-lookup",
          "quote"};
}

Organisation Tapetes() {
  return {"tapetes", "tapetes-demo-key", "book-swap", "lookup", "visit-note"};
}

asio::awaitable<CallResult> CallService(asio::io_context& context,
                                        runtime::Endpoint entry,
                                        Organisation organisation,
                                        ServiceCall call) {
  runtime::HttpClient client(context, entry);
  auto request = runtime::MakeRequest(http::verb::post, call.path, call.body);
  Authorise(request, organisation, call.kind);
  if (!call.idempotency_key.empty()) {
    request.set("Idempotency-Key", call.idempotency_key);
  }
  CallResult result;
  auto response = co_await client.Fetch(std::move(request), kCallTimeout,
                                        runtime::Connection::kFresh);
  if (!response) {
    result.timed_out = response.error() == runtime::HttpError::kTimeout;
    co_return result;
  }
  result.answered = true;
  result.status = response.value().result_int();
  result.body = response.value().body();
  result.request_id = std::string(response.value()["X-Request-Id"]);
  result.replayed = !response.value()["Idempotent-Replayed"].empty();
  if (!result.ok()) {
    ParseProblem(result);
  }
  co_return result;
}

asio::awaitable<StreamResult> CallChat(asio::io_context& context,
                                       runtime::Endpoint entry,
                                       Organisation organisation,
                                       ChatCall call) {
  runtime::HttpClient client(context, entry);
  auto request = runtime::MakeRequest(http::verb::post, "/v1/chat/completions",
                                      json::serialize(ChatBody(call)));
  Authorise(request, organisation, organisation.chat);
  if (!call.last_event_id.empty()) {
    request.set("Last-Event-ID", call.last_event_id);
  }
  StreamResult out;
  out.last_event_id = call.last_event_id;
  ChatSink sink(context, call, out);
  auto ended = co_await client.Stream(std::move(request), sink, kIdleTimeout);
  if (out.status != 200) {
    const json::value problem = Parse(sink.rest());
    out.outcome = StringField(problem, "outcome");
    out.title = StringField(problem, "title");
  }
  out.timed_out = !ended && ended.error() == runtime::HttpError::kTimeout;
  out.connection_lost = !ended.has_value() && !out.done && !out.error;
  co_return out;
}

std::vector<std::string> ExpectedTexts(const ChatCall& call) {
  const std::string prompt = standins::PromptOf(ChatBody(call));
  std::vector<std::string> texts;
  for (std::int64_t i = 0; i < call.tokens; ++i) {
    texts.push_back(standins::TokenAt(prompt, i));
  }
  return texts;
}

}  // namespace peridotgate::prove
