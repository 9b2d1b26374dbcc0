// An unbounded message queue for a single consumer coroutine.
#ifndef RUNTIME_INBOX_H_
#define RUNTIME_INBOX_H_

#include <chrono>
#include <cstddef>
#include <deque>
#include <optional>
#include <utility>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace peridotgate::runtime {

namespace asio = boost::asio;

/**
 * A queue that one coroutine waits on. Not thread-safe: `Put` and `Next` must
 * run on the same io_context.
 */
template <class T>
class Inbox {
 public:
  explicit Inbox(asio::io_context& context) : timer_(context) {}

  /** Appends a message and wakes the waiting coroutine. */
  void Put(T message) {
    messages_.push_back(std::move(message));
    timer_.cancel();
  }

  /** Waits for the next message; returns `nullopt` after `timeout`. */
  asio::awaitable<std::optional<T>> Next(std::chrono::microseconds timeout) {
    if (messages_.empty()) {
      timer_.expires_after(timeout);
      co_await timer_.async_wait(asio::as_tuple(asio::use_awaitable));
    }
    co_return TryNext();
  }

  /** Returns the next message, or `nullopt` when the queue is empty. */
  std::optional<T> TryNext() {
    if (messages_.empty()) {
      return std::nullopt;
    }
    std::optional<T> message(std::move(messages_.front()));
    messages_.pop_front();
    return message;
  }

  std::size_t size() const { return messages_.size(); }

 private:
  asio::steady_timer timer_;
  std::deque<T> messages_;
};

}  // namespace peridotgate::runtime

#endif  // RUNTIME_INBOX_H_
