// Responses and their retention, and the results of claims.
#include <algorithm>

#include "coordination/check.h"
#include "core_impl.h"

namespace peridotgate::agent {
namespace {

// Sent events of a running stream that are retained so that a caller can resume
// after a broken connection.
constexpr std::int64_t kEventsKeptForResume = 256;
constexpr std::size_t kPieceBytes = 256 << 10;
// Follows each event in the stored body of a stream. No event contains it.
constexpr std::string_view kEventSeparator = "\n\n";

}  // namespace

void AgentCore::Impl::End(Stream& stream,
                          wire::Outcome::type result,
                          wire::Reason::type reason,
                          std::string detail,
                          const BackendUsage& usage) {
  wire::ReplyEnd end;
  end.request_id = wire::ToWire(stream.id.request_id);
  end.outcome = result;
  end.reason = reason;
  end.detail = std::move(detail);
  end.cached_tokens = usage.cached_tokens;
  end.prefill_tokens = usage.prompt_tokens - usage.cached_tokens;
  end.output_tokens = usage.output_tokens;
  end.queue_us = (stream.started - stream.arrived).count();
  stream.end = std::move(end);
  stream.state.Step(stream.state.Is("running") ? "end" : "answer_known");
  stream.ended = clock.Now();
  stream.Forward(outputs);
}

void AgentCore::Impl::OnHead(Stream& stream, BackendHead head) {
  stream.head = std::move(head);
  stream.Forward(outputs);
}

void AgentCore::Impl::OnData(Stream& stream, BackendData data) {
  scheduler.OnOutput(stream.id.request_id);
  if (stream.IsNonStreamedStart()) {
    stream.first_position = 0;
  }
  if (stream.dispatch.repeatable || stream.dispatch.streamed) {
    Retain(stream, std::move(data.bytes));
  } else {
    RetainPieces(stream, data.bytes);
  }
  stream.Forward(outputs);
  if (retained_bytes > limits.retained_bytes) {
    EnforceRetention();
  }
}

void AgentCore::Impl::OnEnd(Stream& stream, const BackendEnd& end) {
  RecordSound(stream);
  if (!stream.dispatch.repeatable) {
    StoreClaimResult(stream);
  }
  const auto cost =
      static_cast<double>(end.usage.prompt_tokens - end.usage.cached_tokens +
                          end.usage.output_tokens);
  scheduler.Finish(stream.id.request_id, std::max(1.0, cost));
  End(stream, wire::Outcome::kRan, wire::Reason::kNone, "", end.usage);
}

void AgentCore::Impl::OnFailure(Stream& stream, const BackendFailure& failure) {
  if (!failure.handed_over) {
    if (!stream.dispatch.repeatable) {
      ReleaseClaim(stream);
    }
    stream.state.Step("not_handed_over");
    FinishNotRun(stream, wire::Reason::kBackendFailed, failure.detail);
    return;
  }
  if (failure.crashed) {
    RecordCrash(stream.dispatch);
  }
  scheduler.Finish(stream.id.request_id, 1.0);
  End(stream, wire::Outcome::kUnknown, wire::Reason::kBackendFailed,
      failure.detail, {});
}

wire::ClaimRecord AgentCore::Impl::MakeRecord(
    const Stream& stream,
    wire::ClaimState::type state) const {
  wire::ClaimRecord record;
  record.attempt_token = wire::ToWire(stream.claim_token);
  record.agent = limits.instance;
  record.body_digest = stream.body_digest;
  record.state = state;
  return record;
}

// Stores the response for retries, in memory and in the platform. A response
// that is incomplete or too large even for an object is stored as status 0
// without a body: the call ran, but its response isn't available.
void AgentCore::Impl::StoreClaimResult(const Stream& stream) {
  wire::ClaimRecord record = MakeRecord(stream, wire::ClaimState::kDone);
  for (const std::string& it : stream.events) {
    record.body += it;
    record.body +=
        stream.dispatch.streamed ? kEventSeparator : std::string_view();
  }
  const bool whole = stream.head && stream.first_position == 0 &&
                     record.body.size() <= limits.kept_object_bytes;
  if (whole) {
    record.status = stream.head->status;
    record.content_type = stream.head->content_type;
  } else {
    record.body.clear();
  }
  recent_replies.Add(ClaimKeyOf(stream), record);
  SendResult(stream, std::move(record));
}

void AgentCore::Impl::ReleaseClaim(const Stream& stream) {
  SendResult(stream, MakeRecord(stream, wire::ClaimState::kNotRun));
}

void AgentCore::Impl::SendResult(const Stream& stream,
                                 wire::ClaimRecord record) {
  if (!outputs.SendPlatform(
          ClaimResult{ClaimKeyOf(stream), std::move(record)})) {
    results_dropped.Add();
  }
}

// Answers a call whose key was used before: with the recorded response, or the
// reason why there is none.
void AgentCore::Impl::AnswerFromRecord(Stream& stream,
                                       const wire::ClaimRecord& record) {
  if (record.body_digest != stream.body_digest) {
    FinishNotRun(stream, wire::Reason::kKeyReused,
                 "the key was used with another body");
    return;
  }
  scheduler.Finish(stream.id.request_id, 0);
  ReplayRecord(stream, record);
}

void AgentCore::Impl::ReplayRecord(Stream& stream,
                                   const wire::ClaimRecord& record) {
  stream.replayed = true;
  stream.started = clock.Now();
  if (record.status == 0) {
    End(stream, wire::Outcome::kRan, wire::Reason::kLimit,
        "it ran; its answer was too large to be kept", {});
    return;
  }
  stream.head = BackendHead{record.status, record.content_type};
  if (stream.dispatch.streamed) {
    RetainEvents(stream, record.body);
  } else {
    stream.first_position = 0;
    RetainPieces(stream, record.body);
  }
  End(stream, wire::Outcome::kRan, wire::Reason::kNone, "", {});
}

// Retains all events of a stored stream, including those that the caller
// already has.
void AgentCore::Impl::RetainEvents(Stream& stream, std::string_view body) {
  stream.first_position = 0;
  while (!body.empty()) {
    const std::size_t end = body.find(kEventSeparator);
    Retain(stream, std::string(body.substr(0, end)));
    const std::size_t size = end + kEventSeparator.size();
    body = end == std::string_view::npos ? "" : body.substr(size);
  }
}

// Splits a non-streamed response into messages of bounded size. A replay is
// split in the same way, so that a caller with some pieces gets the rest.
void AgentCore::Impl::RetainPieces(Stream& stream, std::string_view body) {
  do {
    Retain(stream, std::string(body.substr(0, kPieceBytes)));
    body.remove_prefix(std::min(body.size(), kPieceBytes));
  } while (!body.empty());
}

void AgentCore::Impl::Retain(Stream& stream, std::string event) {
  stream.retained_bytes += event.size();
  retained_bytes += event.size();
  stream.events.push_back(std::move(event));
}

AgentCore::Impl::StreamMap::iterator AgentCore::Impl::Erase(
    StreamMap::iterator it) {
  retained_bytes -= it->second.retained_bytes;
  return streams.erase(it);
}

// Frees memory in this order: ended streams, events of repeatable calls that
// were already sent, and then the largest running stream of a repeatable call,
// which is aborted since another server can resume it.
void AgentCore::Impl::EnforceRetention() {
  while (retained_bytes > limits.retained_bytes && EvictOldestEnded()) {
    evicted.Add();
  }
  if (retained_bytes <= limits.retained_bytes) {
    return;
  }
  for (auto& [id, stream] : streams) {
    if (stream.link != 0 && stream.dispatch.repeatable) {
      retained_bytes -= stream.DropSent(kEventsKeptForResume);
    }
  }
  if (retained_bytes > limits.retained_bytes) {
    AbortLongestStream();
  }
}

bool AgentCore::Impl::EvictOldestEnded() {
  auto oldest = streams.end();
  for (auto it = streams.begin(); it != streams.end(); ++it) {
    const Stream& stream = it->second;
    if (!stream.state.Is("ended") || stream.has_unsent_end()) {
      continue;
    }
    if (oldest == streams.end() || stream.ended < oldest->second.ended) {
      oldest = it;
    }
  }
  if (oldest == streams.end()) {
    return false;
  }
  Erase(oldest);
  return true;
}

void AgentCore::Impl::AbortLongestStream() {
  Stream* longest = nullptr;
  for (auto& [id, stream] : streams) {
    const bool is_longer =
        longest == nullptr || stream.retained_bytes > longest->retained_bytes;
    if (stream.dispatch.repeatable && stream.state.Is("running") && is_longer) {
      longest = &stream;
    }
  }
  if (longest == nullptr) {
    return;
  }
  aborted_streams.Add();
  outputs.SendBackend(BackendCancel{longest->id});
  scheduler.Finish(longest->id.request_id, 1.0);
  retained_bytes -= longest->DropUnsent();
  End(*longest, wire::Outcome::kUnknown, wire::Reason::kLimit,
      "the receiver is too slow", {});
}

}  // namespace peridotgate::agent
