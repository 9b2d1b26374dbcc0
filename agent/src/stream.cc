#include "stream.h"

#include <algorithm>

#include "coordination/check.h"

namespace peridotgate::agent {
namespace {

constexpr std::string_view kEventStream = "text/event-stream";

wire::ReplyHead MakeHead(const Stream& stream) {
  wire::ReplyHead head;
  head.request_id = wire::ToWire(stream.id.request_id);
  head.attempt = stream.link_attempt;
  head.sequence = stream.next_sequence;
  head.status = stream.head->status;
  head.content_type = stream.head->content_type;
  head.position = stream.next_position;
  head.replayed = stream.replayed;
  return head;
}

wire::ReplyChunk MakeChunk(const Stream& stream, const std::string& event) {
  wire::ReplyChunk chunk;
  chunk.request_id = wire::ToWire(stream.id.request_id);
  chunk.attempt = stream.link_attempt;
  chunk.sequence = stream.next_sequence;
  chunk.position = stream.next_position;
  chunk.data = event;
  return chunk;
}

}  // namespace

void Stream::Attach(LinkNumber to,
                    std::int32_t attempt,
                    std::int64_t position) {
  PG_CHECK(position >= first_position);
  link = to;
  link_attempt = attempt;
  attempts.push_back(attempt);
  next_sequence = 0;
  next_position = position;
  credit = position + kInitialCredit;
  head_sent = false;
  end_sent = false;
}

bool Stream::IsNonStreamedStart() const {
  return events.empty() && head &&
         !head->content_type.starts_with(kEventStream);
}

bool Stream::HasSeen(std::int32_t attempt) const {
  return std::find(attempts.begin(), attempts.end(), attempt) != attempts.end();
}

void Stream::Forward(AgentOutputs& outputs) {
  if (link == 0 || end_sent) {
    return;
  }
  if (head && !head_sent) {
    outputs.Reply(link, MakeHead(*this));
    head_sent = true;
    ++next_sequence;
  }
  const std::int64_t sendable = std::min(end_position(), credit);
  while (head_sent && next_position < sendable) {
    const auto index = static_cast<std::size_t>(next_position - first_position);
    outputs.Reply(link, MakeChunk(*this, events[index]));
    ++next_sequence;
    ++next_position;
  }
  if (end && (!head_sent || next_position == end_position())) {
    wire::ReplyEnd last = *end;
    last.attempt = link_attempt;
    last.sequence = next_sequence;
    last.position = next_position;
    outputs.Reply(link, last);
    end_sent = true;
  }
}

std::size_t Stream::DropSent(std::int64_t keep) {
  std::size_t freed = 0;
  while (next_position - first_position > keep) {
    freed += events.front().size();
    events.pop_front();
    ++first_position;
  }
  retained_bytes -= freed;
  return freed;
}

std::size_t Stream::DropUnsent() {
  std::size_t freed = 0;
  while (end_position() > next_position) {
    freed += events.back().size();
    events.pop_back();
  }
  retained_bytes -= freed;
  return freed;
}

}  // namespace peridotgate::agent
