#include "control/configuration_writer.h"

#include <algorithm>
#include <utility>
#include <vector>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "control/configuration_reader.h"
#include "control/configuration_rows.h"

namespace peridotgate::control {
namespace {

using coordination::Result;
using coordination::Section;
using platform::PlatformError;
using platform::Row;
using platform::RowWrite;
using platform::Table;
using AcceptResult = Result<std::int64_t, AcceptFailure>;
using Writes = std::vector<RowWrite>;

asio::awaitable<void> Pause(std::chrono::milliseconds time) {
  asio::steady_timer timer(co_await asio::this_coro::executor, time);
  co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
}

// Reads the change row committed under `version`, without its parts.
asio::awaitable<Result<std::optional<wire::ConfigChange>, PlatformError>>
ReadChangeRow(Table& table, std::int64_t version) {
  auto row = co_await table.Get(ChangeKey(version));
  if (!row) {
    co_return row.error();
  }
  if (!row.value()) {
    co_return std::optional<wire::ConfigChange>();
  }
  auto change = wire::DecodeStruct<wire::ConfigChange>(row.value()->body);
  if (!change) {
    co_return PlatformError::kBadAnswer;
  }
  co_return std::optional(std::move(change.value()));
}

asio::awaitable<Result<HeadState, PlatformError>> ReadHead(Table& table) {
  auto row = co_await table.Get(HeadKey());
  if (!row) {
    co_return row.error();
  }
  HeadState head;
  if (row.value()) {
    head = ReadHeadRow(*row.value());
  }
  co_return head;
}

// Counts the part rows of the change row that committing `version` trims.
asio::awaitable<Result<std::int32_t, PlatformError>> CountTrimmedParts(
    Table& table,
    std::int64_t version) {
  if (version <= kRetainedChangeRows) {
    co_return 0;
  }
  const std::int64_t oldest = version - kRetainedChangeRows;
  auto change = co_await ReadChangeRow(table, oldest);
  if (!change) {
    co_return change.error();
  }
  if (!change.value() || !IsSplitIntoParts(*change.value())) {
    co_return 0;
  }
  auto row = co_await table.Get(PartKey(oldest, 0));
  if (!row) {
    co_return row.error();
  }
  if (!row.value()) {
    co_return 0;
  }
  auto part = wire::DecodeStruct<wire::ConfigPush>(row.value()->body);
  co_return part ? part.value().pieces : 0;
}

// Rewrites the head row unchanged, so that the transaction fails if another
// change was committed in the meantime.
RowWrite MakeHeadGuard(const HeadState& head) {
  RowWrite write;
  write.row = MakeHeadRow(head);
  write.condition = platform::Condition::kVersionIs;
  write.expected_version = head.version;
  return write;
}

// Returns the transactions that write `sections`. The last one marks the
// section rows as complete in the head row.
std::vector<Writes> MakeSectionBatches(HeadState head,
                                       const std::vector<Section>& sections) {
  std::vector<Writes> batches;
  for (const Section& it : sections) {
    if (batches.empty() || batches.back().size() > kMaxSectionsPerTransaction) {
      batches.push_back({MakeHeadGuard(head)});
    }
    batches.back().push_back(MakeSectionWrite(it.version, ToWire(it)));
  }
  head.section_rows_version = head.version;
  batches.push_back({MakeHeadGuard(head)});
  return batches;
}

// Whether the last row of a transaction whose response was lost is in the
// table.
asio::awaitable<bool> IsCommitted(Table& table, const Writes& writes) {
  const Row& last = writes.back().row;
  auto row = co_await table.Get(last.key);
  co_return row&& row.value() &&
      row.value()->version == last.version&& row.value()->body == last.body;
}

asio::awaitable<Result<void, PlatformError>> CommitAndConfirm(
    Table& table,
    const Writes& writes) {
  auto done = co_await table.Commit(writes, coordination::NewId());
  if (done || done.error() != PlatformError::kUnknown) {
    co_return done;
  }
  const bool committed = co_await IsCommitted(table, writes);
  if (!committed) {
    co_return PlatformError::kUnknown;
  }
  co_return coordination::outcome::success();
}

// Makes one attempt; returns kConflict if the head changed in the meantime.
asio::awaitable<Result<void, PlatformError>> TryWritePendingSections(
    Table& table,
    std::chrono::milliseconds pause) {
  auto head = co_await ReadHead(table);
  if (!head) {
    co_return head.error();
  }
  if (head.value().has_all_section_rows()) {
    co_return coordination::outcome::success();
  }
  coordination::ConfigurationFollower current(1);
  auto read = co_await ReadConfiguration(table, current);
  if (!read) {
    co_return read.error();
  }
  if (current.version() != head.value().version) {
    co_return PlatformError::kConflict;
  }
  std::vector<Section> pending = current.Export();
  std::erase_if(pending, [&](const Section& it) {
    return it.version <= head.value().section_rows_version;
  });
  for (const Writes& it : MakeSectionBatches(head.value(), pending)) {
    auto done = co_await CommitAndConfirm(table, it);
    if (!done) {
      co_return done.error();
    }
    co_await Pause(pause);
  }
  co_return coordination::outcome::success();
}

// Retries the commit until it is known which change took the version: this one,
// whose response may have been lost, or another.
class ChangeCommitter {
 public:
  ChangeCommitter(Table& table,
                  wire::ConfigChange change,
                  WriterOptions options)
      : table_(table), change_(std::move(change)), options_(options) {}

  asio::awaitable<AcceptResult> Run() {
    for (int i = 0; i < options_.max_attempts; ++i) {
      auto outcome = co_await TryCommit();
      if (outcome) {
        co_return std::move(*outcome);
      }
      co_await Pause(options_.retry_pause);
    }
    co_return failure_;
  }

 private:
  // Makes one attempt. Returns empty while the outcome is undecided.
  asio::awaitable<std::optional<AcceptResult>> TryCommit() {
    auto sections_written =
        co_await TryWritePendingSections(table_, options_.section_batch_pause);
    if (!sections_written) {
      co_return std::nullopt;
    }
    auto trimmed = co_await CountTrimmedParts(table_, change_.version);
    if (!trimmed) {
      co_return std::nullopt;
    }
    auto writes = MakeChangeWrites(change_, trimmed.value());
    auto done = co_await table_.Commit(std::move(writes), token_);
    if (done) {
      co_return AcceptResult(change_.version);
    }
    if (done.error() == PlatformError::kUnknown) {
      failure_.error = AcceptError::kUnknown;
    }
    auto outcome = co_await ReadBackOutcome();
    co_return outcome;
  }

  asio::awaitable<std::optional<AcceptResult>> ReadBackOutcome() {
    auto committed_change = co_await ReadChangeRow(table_, change_.version);
    if (!committed_change) {
      co_return std::nullopt;
    }
    if (committed_change.value() &&
        committed_change.value()->change_id == change_.change_id) {
      co_return AcceptResult(change_.version);
    }
    auto head = co_await ReadHead(table_);
    if (!head || head.value().version == change_.version - 1) {
      // The head can't be read, or the version is still free because the
      // conflict was transient.
      co_return std::nullopt;
    }
    failure_.error = AcceptError::kConflict;
    failure_.winner = std::move(committed_change.value());
    failure_.version = head.value().version;
    co_return AcceptResult(failure_);
  }

  Table& table_;
  wire::ConfigChange change_;
  WriterOptions options_;
  coordination::Id128 token_ = coordination::NewId();
  AcceptFailure failure_;
};

}  // namespace

asio::awaitable<Result<std::int64_t, AcceptFailure>>
AcceptChange(Table& table, wire::ConfigChange change, WriterOptions options) {
  if (!IsAcceptable(change)) {
    AcceptFailure failure;
    failure.error = AcceptError::kTooLarge;
    co_return failure;
  }
  const bool large = IsLarge(change);
  ChangeCommitter committer(table, std::move(change), options);
  auto accepted = co_await committer.Run();
  if (accepted && large) {
    // On failure, the next change writes these rows. Until then readers get
    // them from the part rows.
    co_await WritePendingSections(table, options);
  }
  co_return accepted;
}

asio::awaitable<Result<void, PlatformError>> WritePendingSections(
    Table& table,
    WriterOptions options) {
  PlatformError error = PlatformError::kUnavailable;
  for (int i = 0; i < options.max_attempts; ++i) {
    auto done =
        co_await TryWritePendingSections(table, options.section_batch_pause);
    if (done) {
      co_return coordination::outcome::success();
    }
    error = done.error();
    co_await Pause(options.retry_pause);
  }
  co_return error;
}

}  // namespace peridotgate::control
