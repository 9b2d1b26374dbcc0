// Stores responses that are too large for their claim rows.
#ifndef AGENT_ANSWER_STORE_H_
#define AGENT_ANSWER_STORE_H_

#include <cstddef>
#include <string>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include "platform/object_store.h"
#include "runtime/metrics.h"
#include "wire/codec.h"

namespace peridotgate::agent {

namespace asio = boost::asio;

/**
 * Stores a large response as an object named after the token of the attempt
 * that ran, which its claim row contains. The object is written before the row
 * is marked done; status 0 in the row means that the response may be in the
 * object.
 *
 *     co_await store.Store(record);  // Then write the row, without response.
 *     co_await store.Load(replayed_record);
 */
class AnswerStore {
 public:
  /** If `store` is null, no responses are stored. */
  AnswerStore(asio::io_context& context,
              platform::ObjectStore* store,
              runtime::Metrics& metrics);

  /**
   * Writes the object, with retries over a short outage, and removes the
   * response from `record`, also if that fails.
   */
  asio::awaitable<void> Store(wire::ClaimRecord& record);

  /** Restores the response of `record` if its object can be read. */
  asio::awaitable<void> Load(wire::ClaimRecord& record);

 private:
  asio::awaitable<bool> Write(const wire::ClaimRecord& record);
  asio::awaitable<void> Pause(std::chrono::milliseconds time);

  asio::io_context& context_;
  platform::ObjectStore* store_;
  runtime::Counter& stored_;
  runtime::Counter& not_stored_;
  runtime::Counter& loaded_;
  runtime::Counter& not_loaded_;
  std::size_t waiting_bytes_ = 0;
};

}  // namespace peridotgate::agent

#endif  // AGENT_ANSWER_STORE_H_
