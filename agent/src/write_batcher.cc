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

constexpr std::chrono::hours kAnswered{24};

struct Waiting {
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
        taken_apart(
            metrics.GetCounter("peridotgate_agent_table_taken_apart_total")) {}

  runtime::Duty& duty;
  platform::Table& table;
  std::size_t max_writes;
  runtime::Counter& transactions;
  runtime::Counter& writes;
  runtime::Counter& taken_apart;
  std::deque<Waiting> waiting;
  bool running = false;

  // The next writes, at most one a row.
  std::vector<Waiting> TakeBatch() {
    std::vector<Waiting> batch;
    std::deque<Waiting> later;
    while (!waiting.empty() && batch.size() < max_writes) {
      Waiting next = std::move(waiting.front());
      waiting.pop_front();
      const bool taken =
          std::any_of(batch.begin(), batch.end(), [&](const Waiting& it) {
            return it.write.row.key == next.write.row.key;
          });
      if (taken) {
        later.push_back(std::move(next));
      } else {
        batch.push_back(std::move(next));
      }
    }
    waiting.insert(waiting.begin(), std::make_move_iterator(later.begin()),
                   std::make_move_iterator(later.end()));
    return batch;
  }

  asio::awaitable<Outcome> Commit(const std::vector<Waiting>& batch) {
    std::vector<RowWrite> rows;
    rows.reserve(batch.size());
    for (const Waiting& it : batch) {
      rows.push_back(it.write);
    }
    transactions.Add();
    writes.Add(rows.size());
    auto result = co_await table.Commit(std::move(rows), coordination::NewId());
    co_return ErrorOf(result);
  }

  asio::awaitable<void> CommitAlone(std::shared_ptr<Impl> /*self*/,
                                    Waiting alone) {
    OutcomeInbox* inbox = alone.inbox;
    std::vector<Waiting> batch;
    batch.push_back(std::move(alone));
    const Outcome result = co_await Commit(batch);
    inbox->Put(result);
  }

  asio::awaitable<void> Run(std::shared_ptr<Impl> self) {
    while (!waiting.empty()) {
      std::vector<Waiting> batch = TakeBatch();
      const Outcome result = co_await Commit(batch);
      if (batch.size() > 1 && result == PlatformError::kConflict) {
        taken_apart.Add();
        for (Waiting& it : batch) {
          asio::co_spawn(duty.context(), CommitAlone(self, std::move(it)),
                         asio::detached);
        }
        continue;
      }
      for (const Waiting& it : batch) {
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
    Waiting alone = std::move(it.waiting.front());
    it.waiting.pop_front();
    asio::co_spawn(it.duty.context(), it.CommitAlone(impl_, std::move(alone)),
                   asio::detached);
  } else if (!it.running) {
    it.running = true;
    asio::co_spawn(it.duty.context(), it.Run(impl_), asio::detached);
  }
  std::optional<Outcome> result;
  while (!result) {
    result = co_await inbox.Next(kAnswered);
  }
  co_return *result;
}

}  // namespace peridotgate::agent
