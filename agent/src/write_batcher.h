// Batches single writes to the platform's table into transactions.
#ifndef AGENT_WRITE_BATCHER_H_
#define AGENT_WRITE_BATCHER_H_

#include <memory>
#include <optional>

#include <boost/asio/awaitable.hpp>

#include "platform/table.h"
#include "runtime/duty.h"
#include "runtime/metrics.h"

namespace peridotgate::agent {

/**
 * Writes that arrive during a transaction go into the next one. If a
 * transaction fails because a condition doesn't hold, each of its writes is
 * retried alone, since the error doesn't say which one caused it.
 */
class WriteBatcher {
 public:
  WriteBatcher(runtime::Duty& duty,
               platform::Table& table,
               runtime::Metrics& metrics,
               std::size_t max_writes);
  ~WriteBatcher();

  /** Writes one row; returns `nullopt` for success. */
  boost::asio::awaitable<std::optional<platform::PlatformError>> Write(
      platform::RowWrite write);

 private:
  struct Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace peridotgate::agent

#endif  // AGENT_WRITE_BATCHER_H_
