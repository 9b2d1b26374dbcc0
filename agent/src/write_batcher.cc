#include "write_batcher.h"

#include <algorithm>
#include <deque>
#include <vector>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include "runtime/inbox.h"

namespace peridotgate::agent {
namespace {

namespace asio = boost::asio;
using platform::PlatformError;
using platform::RowWrite;

using Outcome = std::optional<PlatformError>;
using OutcomeInbox = runtime::Inbox<Outcome>;

constexpr std::chrono::hours kWaitInterval{24};

struct PendingWrite {
  RowWrite write;
  OutcomeInbox* inbox = nullptr;
};

Outcome ErrorOf(const platform::Result<void, PlatformError>& result) {
  return result ? Outcome() : Outcome(result.error());
}

}  // namespace

struct WriteBatcher::Impl : std::enable_shared_from_this<Impl> {
  Impl(runtime::Duty& duty,
       platform::Table& table,
       runtime::Metrics& metrics,
       std::size_t max_writes)
      : duty(duty),
        table(table),
        max_writes(max_writes),
        transactions(
            metrics.GetCounter("peridotgate_agent_table_transactions_total")),
        writes(metrics.GetCounter("peridotgate_agent_table_writes_total")),
        split_transactions(
            metrics.GetCounter("peridotgate_agent_table_taken_apart_total")) {}

  runtime::Duty& duty;
  platform::Table& table;
  std::size_t max_writes;
  runtime::Counter& transactions;
  runtime::Counter& writes;
  runtime::Counter& split_transactions;
  std::deque<PendingWrite> waiting;
  bool running = false;

  // Removes the next writes from the queue, at most one per row.
  std::vector<PendingWrite> NextBatch() {
    std::vector<PendingWrite> batch;
    std::deque<PendingWrite> deferred_writes;
    while (!waiting.empty() && batch.size() < max_writes) {
      PendingWrite next = std::move(waiting.front());
      waiting.pop_front();
      const bool row_in_batch =
          std::any_of(batch.begin(), batch.end(), [&](const PendingWrite& it) {
            return it.write.row.key == next.write.row.key;
          });
      if (row_in_batch) {
        deferred_writes.push_back(std::move(next));
      } else {
        batch.push_back(std::move(next));
      }
    }
    waiting.insert(waiting.begin(),
                   std::make_move_iterator(deferred_writes.begin()),
                   std::make_move_iterator(deferred_writes.end()));
    return batch;
  }

  asio::awaitable<Outcome> Commit(const std::vector<PendingWrite>& batch) {
    std::vector<RowWrite> rows;
    rows.reserve(batch.size());
    for (const PendingWrite& it : batch) {
      rows.push_back(it.write);
    }
    transactions.Add();
    writes.Add(rows.size());
    auto result = co_await table.Commit(std::move(rows), coordination::NewId());
    co_return ErrorOf(result);
  }

  asio::awaitable<void> CommitSingle(std::shared_ptr<Impl> /*self*/,
                                     PendingWrite single) {
    OutcomeInbox* inbox = single.inbox;
    std::vector<PendingWrite> batch;
    batch.push_back(std::move(single));
    const Outcome result = co_await Commit(batch);
    inbox->Put(result);
  }

  asio::awaitable<void> Run(std::shared_ptr<Impl> self) {
    while (!waiting.empty()) {
      std::vector<PendingWrite> batch = NextBatch();
      const Outcome result = co_await Commit(batch);
      if (batch.size() > 1 && result == PlatformError::kConflict) {
        split_transactions.Add();
        for (PendingWrite& it : batch) {
          asio::co_spawn(duty.context(), CommitSingle(self, std::move(it)),
                         asio::detached);
        }
        continue;
      }
      for (const PendingWrite& it : batch) {
        it.inbox->Put(result);
      }
    }
    running = false;
  }
};

WriteBatcher::WriteBatcher(runtime::Duty& duty,
                           platform::Table& table,
                           runtime::Metrics& metrics,
                           std::size_t max_writes)
    : impl_(std::make_shared<Impl>(duty, table, metrics, max_writes)) {}

WriteBatcher::~WriteBatcher() = default;

asio::awaitable<Outcome> WriteBatcher::Write(RowWrite write) {
  Impl& it = *impl_;
  OutcomeInbox inbox(it.duty.context());
  it.waiting.push_back({std::move(write), &inbox});
  if (it.max_writes == 1) {
    PendingWrite single = std::move(it.waiting.front());
    it.waiting.pop_front();
    asio::co_spawn(it.duty.context(), it.CommitSingle(impl_, std::move(single)),
                   asio::detached);
  } else if (!it.running) {
    it.running = true;
    asio::co_spawn(it.duty.context(), it.Run(impl_), asio::detached);
  }
  std::optional<Outcome> result;
  while (!result) {
    result = co_await inbox.Next(kWaitInterval);
  }
  co_return *result;
}

}  // namespace peridotgate::agent
