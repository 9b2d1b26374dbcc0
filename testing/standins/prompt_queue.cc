#include "standins/prompt_queue.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace peridotgate::standins {

namespace asio = boost::asio;
namespace json = boost::json;

asio::awaitable<void> PromptQueue::Compute(std::int64_t priority,
                                           std::int64_t pieces) {
  const QueueKey key{priority, calls_.size()};
  calls_.push_back({priority, pieces, started_calls_.size()});
  for (std::int64_t i = 0; i < pieces; ++i) {
    co_await ComputePiece(key);
  }
}

asio::awaitable<void> PromptQueue::ComputePiece(QueueKey key) {
  const auto no_expiry = asio::steady_timer::time_point::max();
  auto waiter =
      waiting_.emplace(key, asio::steady_timer(context_, no_expiry)).first;
  while (busy_ || waiting_.begin() != waiter) {
    co_await waiter->second.async_wait(asio::as_tuple(asio::use_awaitable));
  }
  waiting_.erase(waiter);
  busy_ = true;
  started_calls_.push_back(key.second);
  asio::steady_timer piece(context_, piece_time_ * slowdown_);
  co_await piece.async_wait(asio::as_tuple(asio::use_awaitable));
  busy_ = false;
  if (!waiting_.empty()) {
    waiting_.begin()->second.cancel();
  }
}

json::object PromptQueue::ToJson() const {
  json::array calls;
  for (const Call& it : calls_) {
    calls.push_back({{"priority", it.priority},
                     {"pieces", it.pieces},
                     {"begun_before", it.started_before}});
  }
  json::array begun(started_calls_.begin(), started_calls_.end());
  return {{"calls", std::move(calls)}, {"begun", std::move(begun)}};
}

}  // namespace peridotgate::standins
