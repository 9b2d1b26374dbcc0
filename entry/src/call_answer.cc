#include "call_answer.h"

#include <algorithm>
#include <iterator>

#include <spdlog/fmt/fmt.h>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "caller_request.h"

namespace peridotgate::entry {
namespace {

namespace http = runtime::http;

constexpr std::string_view kEventStream = "text/event-stream";
constexpr std::chrono::milliseconds kChannelRetryDelay{1};
// Number of events that a caller consumes between two reports to the router.
constexpr std::int64_t kReportInterval = kStreamCredit / 4;

// Writes a server-sent event, with one `data:` line for each line of text.
void AppendEvent(std::string_view id_prefix,
                 const CallData& data,
                 std::string& out) {
  const auto end = std::back_inserter(out);
  fmt::format_to(end, "id: {}{}\n", id_prefix, data.position);
  std::string_view rest = data.bytes;
  std::size_t line_end = 0;
  while ((line_end = rest.find('\n')) != std::string_view::npos) {
    fmt::format_to(end, "data: {}\n", rest.substr(0, line_end));
    rest.remove_prefix(line_end + 1);
  }
  fmt::format_to(end, "data: {}\n\n", rest);
}

CallEnd ToCallEnd(const std::optional<CallEvent>& event) {
  if (event) {
    if (const auto* end = std::get_if<CallEnd>(&event->payload)) {
      return *end;
    }
  }
  return {wire::Outcome::kUnknown, wire::Reason::kLateAnswer, ""};
}

// The position after `event` if it is data, else 0.
std::int64_t PositionAfter(const std::optional<CallEvent>& event) {
  const auto* data = event ? std::get_if<CallData>(&event->payload) : nullptr;
  return data == nullptr ? 0 : data->position + 1;
}

// Appends an event to `out`; false if it ends the stream.
bool Append(std::string_view id_prefix,
            const std::optional<CallEvent>& event,
            std::string& out) {
  if (event) {
    if (const auto* data = std::get_if<CallData>(&event->payload)) {
      AppendEvent(id_prefix, *data, out);
      return true;
    }
  }
  const CallEnd end = ToCallEnd(event);
  if (end.outcome == wire::Outcome::kRan) {
    out += "data: [DONE]\n\n";
    return false;
  }
  const Problem problem = MakeProblem(end.outcome, end.reason, end.detail, 0);
  out += fmt::format("event: error\ndata: {}\n\n", ToJson(problem));
  return false;
}

}  // namespace

asio::awaitable<void> CallAnswer::Send(std::optional<CallEvent>& first,
                                       bool streamed) {
  if (!first) {
    co_await SendProblem(
        MakeProblem(wire::Outcome::kUnknown, wire::Reason::kLateAnswer, "", 0));
    co_return;
  }
  if (auto* refused = std::get_if<CallRefused>(&first->payload)) {
    co_await SendProblem(MakeProblem(refused->outcome, refused->reason,
                                     refused->detail, refused->retry_after_ms));
    co_return;
  }
  if (auto* end = std::get_if<CallEnd>(&first->payload)) {
    co_await SendProblem(
        MakeProblem(end->outcome, end->reason, end->detail, 0));
    co_return;
  }
  const CallHead head = std::get<CallHead>(first->payload);
  if (streamed && head.content_type.starts_with(kEventStream)) {
    co_await SendStream(head);
    co_return;
  }
  co_await SendWhole(head);
}

asio::awaitable<void> CallAnswer::SendProblem(const Problem& problem) {
  co_await deps_.problems.Send(exchange_, problem, id_);
}

runtime::HttpResponse CallAnswer::MakeHead(const CallHead& head) const {
  auto response =
      runtime::MakeResponse(http::status::ok, "", head.content_type);
  // As a number: the enumeration lacks the codes that Beast doesn't know.
  response.result(static_cast<unsigned>(head.status));
  response.set(std::string(kRequestIdHeader), coordination::ToHex(id_));
  if (head.replayed) {
    response.set("Idempotent-Replayed", "true");
  }
  return response;
}

// Buffers the whole answer before sending, so that a failure can still be
// reported with its own status.
asio::awaitable<void> CallAnswer::SendWhole(const CallHead& head) {
  std::string body;
  while (true) {
    auto event = co_await inbox_.Next(kEventTimeout);
    if (event) {
      if (auto* data = std::get_if<CallData>(&event->payload)) {
        body += data->bytes;
        co_await ReportConsumed(data->position + 1);
        continue;
      }
    }
    const CallEnd end = ToCallEnd(event);
    if (end.outcome != wire::Outcome::kRan) {
      co_await SendProblem(MakeProblem(end.outcome, end.reason, end.detail, 0));
      co_return;
    }
    auto response = MakeHead(head);
    response.body() = std::move(body);
    co_await exchange_.Send(std::move(response));
    co_return;
  }
}

asio::awaitable<void> CallAnswer::SendStream(const CallHead& head) {
  auto response = MakeHead(head);
  response.set(http::field::cache_control, "no-store");
  if (!co_await exchange_.BeginStream(std::move(response))) {
    co_return;
  }
  const std::string id_prefix = EventIdPrefix(id_, head.agent);
  std::int64_t reported = -1;
  while (true) {
    auto event = co_await inbox_.Next(kEventTimeout);
    std::string out;
    std::int64_t consumed_up_to = PositionAfter(event);
    bool ended = !Append(id_prefix, event, out);
    while (!ended && inbox_.size() > 0) {
      event = inbox_.TryNext();
      consumed_up_to = std::max(consumed_up_to, PositionAfter(event));
      ended = !Append(id_prefix, event, out);
    }
    if (!co_await exchange_.Write(out)) {
      co_return;
    }
    reported = reported < 0 ? consumed_up_to - 1 : reported;
    if (consumed_up_to - reported >= kReportInterval) {
      reported = consumed_up_to;
      co_await ReportConsumed(consumed_up_to);
    }
    if (ended) {
      co_await exchange_.EndStream();
      co_return;
    }
  }
}

// Retries while the router's channel is full: if the report were dropped, the
// agent would get no more credit and the stream would stall.
asio::awaitable<void> CallAnswer::ReportConsumed(std::int64_t position) {
  const CallConsumed consumed{id_, position};
  RouterCommand command(consumed);
  while (!deps_.commands.TrySend(command)) {
    asio::steady_timer timer(deps_.duty.context(), kChannelRetryDelay);
    co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
  }
}

}  // namespace peridotgate::entry
