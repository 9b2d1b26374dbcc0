// The queue in which a stand-in engine computes prompts, with a record of the
// order.
#ifndef TESTING_STANDINS_PROMPT_QUEUE_H_
#define TESTING_STANDINS_PROMPT_QUEUE_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <utility>
#include <vector>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/json.hpp>

namespace peridotgate::standins {

/**
 * Computes one piece of one prompt at a time. The call with the lowest priority
 * value goes first, then the one that arrived first. Records every call and the
 * order in which pieces are computed.
 */
class PromptQueue {
 public:
  PromptQueue(boost::asio::io_context& context,
              std::chrono::microseconds piece_time)
      : context_(context), piece_time_(piece_time) {}

  /** Completes when all `pieces` are computed. */
  boost::asio::awaitable<void> Compute(std::int64_t priority,
                                       std::int64_t pieces);

  /** Multiplies the time of every later piece by `factor`. */
  void SetSlowdown(std::int64_t factor) { slowdown_ = factor; }

  /**
   * `calls`: for each call its priority, its pieces, and how many pieces had
   * been started when it arrived.
   * `begun`: for each piece, in the order of computation, the index of its
   * call.
   */
  boost::json::object ToJson() const;

 private:
  // Priority and index of the call.
  using QueueKey = std::pair<std::int64_t, std::size_t>;
  struct Call {
    std::int64_t priority = 0;
    std::int64_t pieces = 0;
    std::size_t started_before = 0;
  };

  boost::asio::awaitable<void> ComputePiece(QueueKey key);

  boost::asio::io_context& context_;
  std::chrono::microseconds piece_time_;
  std::int64_t slowdown_ = 1;
  bool busy_ = false;
  std::map<QueueKey, boost::asio::steady_timer> waiting_;
  std::vector<Call> calls_;
  std::vector<std::size_t> started_calls_;
};

}  // namespace peridotgate::standins

#endif  // TESTING_STANDINS_PROMPT_QUEUE_H_
