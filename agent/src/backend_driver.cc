#include "agent/backend_driver.h"

#include <unordered_map>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/bind_cancellation_slot.hpp>
#include <boost/asio/cancellation_signal.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/json.hpp>

#include "cache_events.h"
#include "engine_request.h"
#include "sse.h"

namespace peridotgate::agent {
namespace {

namespace asio = boost::asio;
namespace json = boost::json;
using runtime::HttpError;
using runtime::HttpRequest;

constexpr std::chrono::milliseconds kChannelRetryPause{1};
constexpr std::chrono::milliseconds kReconnectPause{200};
constexpr std::chrono::milliseconds kIdleTimeout{60000};
// A server that lives accepts a connection within this time.
constexpr std::chrono::milliseconds kDownTimeout{300};
// Limits on plain responses, which are buffered until they are complete.
constexpr std::size_t kMaxAnswerBytes = 8 << 20;
constexpr std::size_t kMaxBufferedBytes = 32 << 20;  // Of all calls.
constexpr std::size_t kFreeAnswerBytes = 64 << 10;   // Allowed in any case.
constexpr std::string_view kDone = "[DONE]";
constexpr std::string_view kEventStream = "text/event-stream";
constexpr std::int32_t kFirstErrorStatus = 400;

std::optional<json::value> ParseJson(std::string_view text) {
  boost::system::error_code ec;
  json::value value = json::parse(text, ec);
  if (ec || !value.is_object()) {
    return std::nullopt;
  }
  return value;
}

std::int64_t IntegerMember(const json::object& object, std::string_view key) {
  const json::value* it = object.if_contains(key);
  return it != nullptr && it->is_int64() ? it->get_int64() : 0;
}

// Reads the usage object of a response or of a stream's last event.
void ReadUsage(std::string_view text, BackendUsage& usage) {
  if (text.find("\"usage\"") == std::string_view::npos) {
    return;
  }
  auto value = ParseJson(text);
  if (!value) {
    return;
  }
  const json::value* it = value->as_object().if_contains("usage");
  if (it == nullptr || !it->is_object()) {
    return;
  }
  const json::object& counts = it->get_object();
  usage.prompt_tokens = IntegerMember(counts, "prompt_tokens");
  usage.output_tokens = IntegerMember(counts, "completion_tokens");
  const json::value* details = counts.if_contains("prompt_tokens_details");
  if (details != nullptr && details->is_object()) {
    usage.cached_tokens = IntegerMember(details->get_object(), "cached_tokens");
  }
}

}  // namespace

struct BackendDriver::Impl {
  Impl(runtime::Duty& duty,
       const runtime::Endpoint& server,
       ServerKind kind,
       runtime::Port<BackendReport>& reports,
       runtime::Metrics& metrics)
      : duty(duty),
        server(server),
        kind(kind),
        client(duty.context(), server),
        events_client(duty.context(), server),
        reports(reports),
        gaps(metrics.GetCounter("peridotgate_agent_cache_event_gaps_total")),
        cache_events(
            metrics.GetCounter("peridotgate_agent_cache_events_total")) {}

  runtime::Duty& duty;
  runtime::Endpoint server;
  ServerKind kind;
  runtime::HttpClient client;
  runtime::HttpClient events_client;
  runtime::Port<BackendReport>& reports;
  runtime::Counter& gaps;
  runtime::Counter& cache_events;
  // Calls in the server; emitting the signal aborts the call's connection.
  std::unordered_map<AttemptId, std::shared_ptr<asio::cancellation_signal>>
      running;
  std::size_t buffered = 0;  // Bytes in responses that are not complete yet.

  // Waits while the channel to the peers thread is full, which applies back
  // pressure to the server.
  asio::awaitable<void> Report(BackendReport report) {
    while (!reports.TrySend(report)) {
      asio::steady_timer timer(duty.context(), kChannelRetryPause);
      co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
    }
  }

  void StartCall(BackendCall call);
  asio::awaitable<void> RunCall(BackendCall call);
  asio::awaitable<bool> IsDown() const;
  asio::awaitable<void> FollowCacheEventStream();
};

namespace {

// Converts a response into events of one call.
class CallSink : public runtime::HttpSink {
 public:
  using Report = std::function<asio::awaitable<void>(BackendReport)>;

  // `buffered` counts the bytes that all sinks hold.
  CallSink(AttemptId id, std::size_t& buffered, Report report)
      : id_(id), buffered_(buffered), report_(std::move(report)) {}
  ~CallSink() override { buffered_ -= own_bytes_; }
  CallSink(const CallSink&) = delete;
  CallSink& operator=(const CallSink&) = delete;

  /** Whether the response head has arrived. */
  bool has_begun() const { return head_.status != 0; }

  void OnHead(unsigned status, std::string_view content_type) override {
    head_.status = static_cast<std::int32_t>(status);
    head_.content_type = std::string(content_type);
    streamed_ = content_type.starts_with(kEventStream);
  }

  asio::awaitable<bool> OnData(std::string_view data) override {
    co_await SendHead();
    if (!streamed_) {
      co_return Buffer(data);
    }
    splitter_.Feed(data);
    while (auto event = splitter_.Next()) {
      if (*event == kDone) {
        seen_done_marker_ = true;
        continue;
      }
      ReadUsage(*event, usage_);
      BackendEvent data{id_, BackendData{std::move(*event)}};
      co_await report_(std::move(data));
    }
    co_return !splitter_.overflowed();
  }

  // Call after the last byte. Reports the end; false if a stream has no end
  // marker.
  asio::awaitable<bool> Finish() {
    co_await SendHead();
    if (!streamed_) {
      ReadUsage(body_, usage_);
      BackendEvent data{id_, BackendData{std::move(body_)}};
      co_await report_(std::move(data));
    }
    if (streamed_ && !seen_done_marker_ && head_.status < kFirstErrorStatus) {
      co_return false;
    }
    BackendEvent end{id_, BackendEnd{usage_}};
    co_await report_(std::move(end));
    co_return true;
  }

 private:
  asio::awaitable<void> SendHead() {
    if (!head_sent_) {
      head_sent_ = true;
      BackendEvent head{id_, head_};
      co_await report_(std::move(head));
    }
  }

  // False if the response has become too large.
  bool Buffer(std::string_view data) {
    const std::size_t own = own_bytes_ + data.size();
    const bool shared_left = buffered_ + data.size() <= kMaxBufferedBytes;
    if (own > kMaxAnswerBytes || (own > kFreeAnswerBytes && !shared_left)) {
      return false;
    }
    own_bytes_ = own;
    buffered_ += data.size();
    body_.append(data);
    return true;
  }

  AttemptId id_;
  std::size_t& buffered_;
  std::size_t own_bytes_ = 0;
  Report report_;
  BackendHead head_;
  bool head_sent_ = false;
  bool streamed_ = false;
  bool seen_done_marker_ = false;
  std::string body_;
  SseSplitter splitter_;
  BackendUsage usage_;
};

// Reads cache events from one connection; ends it at the first gap.
class CacheSink : public runtime::HttpSink {
 public:
  using Report = std::function<asio::awaitable<void>(BackendReport)>;

  CacheSink(Report report, runtime::Counter& events, runtime::Counter& gaps)
      : report_(std::move(report)),
        event_counter_(events),
        gap_counter_(gaps) {}

  void OnHead(unsigned /*status*/, std::string_view /*type*/) override {}

  asio::awaitable<bool> OnData(std::string_view data) override {
    splitter_.Feed(data);
    while (auto text = splitter_.Next()) {
      CacheEventReading it = reader_.Read(*text);
      if (it.gap) {
        gap_counter_.Add();
        co_return false;
      }
      if (it.event) {
        event_counter_.Add();
        BackendReport report(*it.event);
        co_await report_(std::move(report));
      }
    }
    co_return !splitter_.overflowed();
  }

 private:
  Report report_;
  runtime::Counter& event_counter_;
  runtime::Counter& gap_counter_;
  SseSplitter splitter_;
  CacheEventReader reader_;
};

bool IsBroken(const runtime::Result<void, HttpError>& result) {
  return !result && result.error() == HttpError::kBroken;
}

HttpRequest MakeBackendRequest(const BackendCall& call) {
  const wire::Dispatch& it = call.dispatch;
  HttpRequest request =
      runtime::MakeRequest(runtime::http::string_to_verb(it.method), it.path,
                           it.body, it.content_type);
  request.set("x-request-id", coordination::ToHex(call.id.request_id));
  if (!it.traceparent.empty()) {
    request.set("traceparent", it.traceparent);
  }
  if (!it.idempotency_key.empty()) {
    request.set("idempotency-key", it.idempotency_key);
  }
  if (it.resume_position > 0) {
    request.set("x-resume-position", std::to_string(it.resume_position));
  }
  request.set("x-cache-salt", it.organisation);
  return request;
}

}  // namespace

void BackendDriver::Impl::StartCall(BackendCall call) {
  const AttemptId id = call.id;
  if (kind == ServerKind::kEngine) {
    call.dispatch.body =
        WithPriority(call.dispatch.body, call.dispatch.priority);
  }
  auto stop = std::make_shared<asio::cancellation_signal>();
  running[id] = stop;
  // The signal must outlive the coroutine, which holds its slot.
  asio::co_spawn(
      duty.context(), RunCall(std::move(call)),
      asio::bind_cancellation_slot(
          stop->slot(), [this, id, stop](const std::exception_ptr& /*none*/) {
            running.erase(id);
          }));
}

asio::awaitable<void> BackendDriver::Impl::RunCall(BackendCall call) {
  const AttemptId id = call.id;
  CallSink sink(id, buffered,
                [this](BackendReport it) { return Report(std::move(it)); });
  // Without the exception, a cancelled read fails like a broken connection, and
  // the code below still runs.
  co_await asio::this_coro::throw_if_cancelled(false);
  const bool repeatable = call.dispatch.repeatable;
  auto result = co_await client.Stream(
      MakeBackendRequest(call), sink, kIdleTimeout,
      repeatable ? runtime::Connection::kKept : runtime::Connection::kFresh);
  const auto state = co_await asio::this_coro::cancellation_state;
  const bool stopped = state.cancelled() != asio::cancellation_type::none;
  const bool sent_again =
      repeatable && !stopped && IsBroken(result) && !sink.has_begun();
  if (sent_again) {
    // The reused connection may have been closed by the server: retry once on a
    // new one.
    result = co_await client.Stream(MakeBackendRequest(call), sink,
                                    kIdleTimeout, runtime::Connection::kFresh);
  }
  BackendFailure failure;
  if (result) {
    const bool finished = co_await sink.Finish();
    if (finished) {
      co_return;
    }
    failure.detail = "stream without an end";
  } else {
    // The first of two sendings may have reached the server.
    failure.handed_over = sent_again || result.error() != HttpError::kNotSent;
    failure.detail = Name(result.error());
  }
  const bool ended = failure.handed_over && !stopped &&
                     (result || result.error() != HttpError::kTimeout);
  if (ended) {
    failure.crashed = co_await IsDown();
  }
  BackendEvent event{id, std::move(failure)};
  co_await Report(std::move(event));
}

// Whether the server accepts no connection.
asio::awaitable<bool> BackendDriver::Impl::IsDown() const {
  boost::system::error_code ec;
  const auto address = asio::ip::make_address(server.address, ec);
  if (ec) {
    co_return false;
  }
  boost::beast::tcp_stream stream(duty.context());
  stream.expires_after(kDownTimeout);
  const asio::ip::tcp::endpoint endpoint(address, server.port);
  auto [failed] = co_await stream.async_connect(
      endpoint, asio::as_tuple(asio::use_awaitable));
  co_return static_cast<bool>(failed);
}

asio::awaitable<void> BackendDriver::Impl::FollowCacheEventStream() {
  while (true) {
    CacheSink sink([this](BackendReport it) { return Report(std::move(it)); },
                   cache_events, gaps);
    (void)co_await events_client.Stream(
        runtime::MakeRequest(runtime::http::verb::get, "/cache_events"), sink,
        std::chrono::hours(24));
    BackendReport lost{CacheEvent(EngineLost{})};
    co_await Report(std::move(lost));
    asio::steady_timer timer(duty.context(), kReconnectPause);
    co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
  }
}

BackendDriver::BackendDriver(runtime::Duty& duty,
                             const runtime::Endpoint& server,
                             ServerKind kind,
                             runtime::Port<BackendReport>& reports,
                             runtime::Metrics& metrics)
    : impl_(std::make_unique<Impl>(duty, server, kind, reports, metrics)) {}

BackendDriver::~BackendDriver() = default;

void BackendDriver::FollowCacheEvents() {
  asio::co_spawn(impl_->duty.context(), impl_->FollowCacheEventStream(),
                 asio::detached);
}

void BackendDriver::OnCommand(BackendCommand command) {
  if (auto* call = std::get_if<BackendCall>(&command)) {
    impl_->StartCall(std::move(*call));
    return;
  }
  auto it = impl_->running.find(std::get<BackendCancel>(command).id);
  if (it != impl_->running.end()) {
    it->second->emit(asio::cancellation_type::terminal);
  }
}

}  // namespace peridotgate::agent
