#include "answer_store.h"

#include <algorithm>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace peridotgate::agent {
namespace {

using platform::PlatformError;
using std::chrono::milliseconds;

constexpr std::string_view kPrefix = "answers/";
constexpr int kMaxWriteAttempts = 12;
constexpr int kMaxReadAttempts = 3;
constexpr milliseconds kInitialPause{100};
constexpr milliseconds kMaxPause{5000};
// Limit on the total size of responses that are being written to the store.
// Responses beyond it aren't stored.
constexpr std::size_t kMaxWaitingBytes = 64 << 20;

std::string NameOf(const wire::ClaimRecord& record) {
  const auto token = wire::FromWire(record.attempt_token);
  return std::string(kPrefix) + coordination::ToHex(token);
}

void RemoveAnswer(wire::ClaimRecord& record) {
  record.status = 0;
  record.content_type.clear();
  record.body.clear();
  record.body.shrink_to_fit();
}

// Whether `object` holds the response that was removed from `record`.
bool IsAnswerOf(const wire::ClaimRecord& object,
                const wire::ClaimRecord& record) {
  return object.attempt_token == record.attempt_token &&
         object.body_digest == record.body_digest && object.status != 0;
}

}  // namespace

AnswerStore::AnswerStore(asio::io_context& context,
                         platform::ObjectStore* store,
                         runtime::Metrics& metrics)
    : context_(context),
      store_(store),
      stored_(metrics.GetCounter("peridotgate_agent_objects_kept_total")),
      not_stored_(
          metrics.GetCounter("peridotgate_agent_objects_not_kept_total")),
      loaded_(metrics.GetCounter("peridotgate_agent_objects_read_total")),
      not_loaded_(
          metrics.GetCounter("peridotgate_agent_objects_not_read_total")) {}

asio::awaitable<void> AnswerStore::Pause(milliseconds time) {
  asio::steady_timer timer(context_, time);
  co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
}

asio::awaitable<void> AnswerStore::Store(wire::ClaimRecord& record) {
  const std::size_t size = record.body.size();
  bool is_stored = false;
  if (store_ != nullptr && waiting_bytes_ + size <= kMaxWaitingBytes) {
    waiting_bytes_ += size;
    is_stored = co_await Write(record);
    waiting_bytes_ -= size;
  }
  (is_stored ? stored_ : not_stored_).Add();
  RemoveAnswer(record);
}

// Only this attempt writes an object with this name. So a conflict means that
// an earlier write, whose reply was lost, succeeded.
asio::awaitable<bool> AnswerStore::Write(const wire::ClaimRecord& record) {
  const std::string name = NameOf(record);
  const std::string bytes = wire::EncodeStruct(record);
  milliseconds pause = kInitialPause;
  for (int i = 0; i < kMaxWriteAttempts; ++i) {
    if (i > 0) {
      co_await Pause(pause);
      pause = std::min(2 * pause, kMaxPause);
    }
    auto created = co_await store_->Create(name, bytes);
    if (created || created.error() == PlatformError::kConflict) {
      co_return true;
    }
  }
  co_return false;
}

asio::awaitable<void> AnswerStore::Load(wire::ClaimRecord& record) {
  if (store_ == nullptr) {
    co_return;
  }
  const std::string name = NameOf(record);
  for (int i = 0; i < kMaxReadAttempts; ++i) {
    if (i > 0) {
      co_await Pause(kInitialPause);
    }
    auto bytes = co_await store_->Get(name);
    if (!bytes) {
      continue;
    }
    if (!bytes.value()) {
      break;
    }
    auto object = wire::DecodeStruct<wire::ClaimRecord>(*bytes.value());
    if (object && IsAnswerOf(object.value(), record)) {
      record = std::move(object.value());
      loaded_.Add();
      co_return;
    }
    break;
  }
  not_loaded_.Add();
}

}  // namespace peridotgate::agent
