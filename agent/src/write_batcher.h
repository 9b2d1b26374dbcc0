// Joins single writes to the platform's table into transactions.
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
 * What is written while a transaction is under way goes into the next one. A
 * transaction that was refused for a condition is taken apart, since it does
 * not say for which write.
 */
class WriteBatcher {
 public:
  WriteBatcher(runtime::Duty& duty,
               platform::Table& table,
               runtime::Metrics& metrics,
               std::size_t max_writes);
  ~WriteBatcher();

  /** Writes one row; nothing for success. */
  boost::asio::awaitable<std::optional<platform::PlatformError>> Write(
      platform::RowWrite write);

 private:
  struct Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace peridotgate::agent

#endif  // AGENT_WRITE_BATCHER_H_
