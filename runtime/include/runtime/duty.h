// A thread that runs an event loop, and the bounded channels that carry
// messages from one event-loop thread to another.
#ifndef RUNTIME_DUTY_H_
#define RUNTIME_DUTY_H_

#include <atomic>
#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <thread>
#include <utility>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>

#include "coordination/bounded_ring.h"

namespace peridotgate::runtime {

namespace asio = boost::asio;

/**
 * A thread that runs its own io_context. State owned by an event-loop thread
 * is accessed on that thread only; other threads send it messages through a
 * `Port`.
 */
class Duty {
 public:
  explicit Duty(std::string name);
  ~Duty();
  Duty(const Duty&) = delete;
  Duty& operator=(const Duty&) = delete;

  asio::io_context& context() { return context_; }

  /** Starts the thread. */
  void Start();

  /** Stops the event loop and joins the thread. Idempotent. */
  void Stop();

 private:
  std::string name_;
  asio::io_context context_{1};
  asio::executor_work_guard<asio::io_context::executor_type> work_;
  std::thread thread_;
};

/**
 * A bounded single-producer, single-consumer channel between two event-loop
 * threads. `handler` runs on the receiving thread for each message, in order.
 * Sending to a full channel fails; the producer then either counts the dropped
 * message or applies backpressure.
 *
 *     Port<Job> jobs(backend, 1024, [](Job&& job) { Run(job); });
 *     if (!jobs.TrySend(std::move(job))) { refused.Add(); }
 */
template <class T>
class Port {
 public:
  using Handler = std::function<void(T&&)>;

  Port(Duty& receiver, std::size_t capacity, Handler handler)
      : receiver_(receiver), ring_(capacity), handler_(std::move(handler)) {}

  /**
   * Sends `message`. Returns false and leaves `message` unchanged when the
   * channel is full. Call only from the single producer thread.
   */
  bool TrySend(T& message) { return TrySend(std::move(message)); }
  bool TrySend(T&& message) {
    if (!ring_.TryPush(std::move(message))) {
      return false;
    }
    if (!scheduled_.exchange(true, std::memory_order_acq_rel)) {
      asio::post(receiver_.context(), [this] { Drain(); });
    }
    return true;
  }

 private:
  static constexpr std::size_t kMaxMessagesPerDrain = 256;

  void Drain() {
    scheduled_.store(false, std::memory_order_release);
    // Orders the store above before the reads of the ring below. A producer
    // that pushes after those reads then sees `scheduled_` unset and posts
    // another `Drain`.
    std::atomic_thread_fence(std::memory_order_seq_cst);
    for (std::size_t n = 0; n < kMaxMessagesPerDrain; ++n) {
      auto message = ring_.TryPop();
      if (!message) {
        return;
      }
      handler_(std::move(*message));
    }
    if (!scheduled_.exchange(true, std::memory_order_acq_rel)) {
      asio::post(receiver_.context(), [this] { Drain(); });
    }
  }

  Duty& receiver_;
  coordination::BoundedRing<T> ring_;
  Handler handler_;
  std::atomic<bool> scheduled_{false};
};

}  // namespace peridotgate::runtime

#endif  // RUNTIME_DUTY_H_
