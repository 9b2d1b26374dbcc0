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

// The change row that stands under `version`, without its parts.
asio::awaitable<Result<std::optional<wire::ConfigChange>, PlatformError>>
ReadStanding(Table& table, std::int64_t version) {
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

// How many part rows go with the change row that `version` trims.
asio::awaitable<Result<std::int32_t, PlatformError>> CountTrimmedParts(
    Table& table,
    std::int64_t version) {
  if (version <= kRetainedChangeRows) {
    co_return 0;
  }
  const std::int64_t oldest = version - kRetainedChangeRows;
  auto change = co_await ReadStanding(table, oldest);
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

// Writes the head row again as it is, so that the transaction holds only while
// no other change is accepted.
RowWrite MakeGuard(const HeadState& head) {
  RowWrite write;
  write.row = MakeHeadRow(head);
  write.condition = platform::Condition::kVersionIs;
  write.expected_version = head.version;
  return write;
}

// The transactions that write `sections`; the last one settles the head.
std::vector<Writes> MakeBatches(HeadState head,
                                const std::vector<Section>& sections) {
  std::vector<Writes> batches;
  for (const Section& it : sections) {
    if (batches.empty() || batches.back().size() > kMaxSectionsPerTransaction) {
      batches.push_back({MakeGuard(head)});
    }
    batches.back().push_back(MakeSectionWrite(it.version, ToWire(it)));
  }
  head.section_rows_version = head.version;
  batches.push_back({MakeGuard(head)});
  return batches;
}

// Whether the last row of a transaction without an answer stands in the table.
asio::awaitable<bool> HasLanded(Table& table, const Writes& writes) {
  const Row& wanted = writes.back().row;
  auto row = co_await table.Get(wanted.key);
  co_return row&& row.value() &&
      row.value()->version == wanted.version&& row.value()->body == wanted.body;
}

asio::awaitable<Result<void, PlatformError>> CommitKnown(Table& table,
                                                         const Writes& writes) {
  auto done = co_await table.Commit(writes, coordination::NewId());
  if (done || done.error() != PlatformError::kUnknown) {
    co_return done;
  }
  const bool landed = co_await HasLanded(table, writes);
  if (!landed) {
    co_return PlatformError::kUnknown;
  }
  co_return coordination::outcome::success();
}

// One go at settling; kConflict when the head moved meanwhile.
asio::awaitable<Result<void, PlatformError>> SettleOnce(
    Table& table,
    std::chrono::milliseconds pause) {
  auto head = co_await ReadHead(table);
  if (!head) {
    co_return head.error();
  }
  if (head.value().has_all_section_rows()) {
    co_return coordination::outcome::success();
  }
  coordination::ConfigurationFollower whole(1);
  auto read = co_await ReadConfiguration(table, whole);
  if (!read) {
    co_return read.error();
  }
  if (whole.version() != head.value().version) {
    co_return PlatformError::kConflict;
  }
  std::vector<Section> left = whole.Export();
  std::erase_if(left, [&](const Section& it) {
    return it.version <= head.value().section_rows_version;
  });
  for (const Writes& it : MakeBatches(head.value(), left)) {
    auto done = co_await CommitKnown(table, it);
    if (!done) {
      co_return done.error();
    }
    co_await Pause(pause);
  }
  co_return coordination::outcome::success();
}

// Commits until it is known which change took the version: ours, whose answer
// may have been lost, or another.
class Acceptance {
 public:
  Acceptance(Table& table, wire::ConfigChange change, WriterOptions options)
      : table_(table), change_(std::move(change)), options_(options) {}

  asio::awaitable<AcceptResult> Run() {
    for (int i = 0; i < options_.max_attempts; ++i) {
      auto end = co_await Try();
      if (end) {
        co_return std::move(*end);
      }
      co_await Pause(options_.retry_pause);
    }
    co_return failure_;
  }

 private:
  // One go; nothing when the outcome is still open.
  asio::awaitable<std::optional<AcceptResult>> Try() {
    auto settled = co_await SettleOnce(table_, options_.section_batch_pause);
    if (!settled) {
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
    auto end = co_await ReadBack();
    co_return end;
  }

  asio::awaitable<std::optional<AcceptResult>> ReadBack() {
    auto standing = co_await ReadStanding(table_, change_.version);
    if (!standing) {
      co_return std::nullopt;
    }
    if (standing.value() && standing.value()->change_id == change_.change_id) {
      co_return AcceptResult(change_.version);
    }
    auto head = co_await ReadHead(table_);
    if (!head || head.value().version == change_.version - 1) {
      co_return std::nullopt;  // Still free: what stood in the way has gone.
    }
    failure_.error = AcceptError::kConflict;
    failure_.winner = std::move(standing.value());
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
  Acceptance acceptance(table, std::move(change), options);
  auto accepted = co_await acceptance.Run();
  if (accepted && large) {
    // Left to the next change when it fails: readers are right without it.
    co_await WritePendingSections(table, options);
  }
  co_return accepted;
}

asio::awaitable<Result<void, PlatformError>> WritePendingSections(
    Table& table,
    WriterOptions options) {
  PlatformError error = PlatformError::kUnavailable;
  for (int i = 0; i < options.max_attempts; ++i) {
    auto done = co_await SettleOnce(table, options.section_batch_pause);
    if (done) {
      co_return coordination::outcome::success();
    }
    error = done.error();
    co_await Pause(options.retry_pause);
  }
  co_return error;
}

}  // namespace peridotgate::control
