#include "control/configuration_reader.h"

#include <algorithm>
#include <iterator>

#include "control/configuration_rows.h"

namespace peridotgate::control {
namespace {

using coordination::ConfigurationFollower;
using coordination::FollowResult;
using coordination::Result;
using coordination::Section;
using platform::PlatformError;
using platform::Row;

constexpr std::size_t kPageRows = 500;
// Bounds one read while changes are committed faster than they are read.
constexpr int kMaxPages = 64;

// Whether all change rows were read, or some are missing.
enum class ReadOutcome { kCurrent, kGap };

// Fills in the content of a change that is stored in parts. Returns false if a
// part is missing because the change was trimmed in the meantime.
asio::awaitable<Result<bool, PlatformError>> ReadParts(
    platform::Table& table,
    wire::ConfigChange& change) {
  std::int32_t pieces = 1;
  for (std::int32_t i = 0; i < pieces; ++i) {
    auto row = co_await table.Get(PartKey(change.version, i));
    if (!row) {
      co_return row.error();
    }
    if (!row.value()) {
      co_return false;
    }
    auto part = wire::DecodeStruct<wire::ConfigPush>(row.value()->body);
    if (!part || part.value().changes.size() != 1) {
      co_return PlatformError::kBadAnswer;
    }
    pieces = part.value().pieces;
    auto& sections = part.value().changes.front().sections;
    std::move(sections.begin(), sections.end(),
              std::back_inserter(change.sections));
  }
  co_return true;
}

asio::awaitable<Result<ReadOutcome, PlatformError>> ReadChanges(
    platform::Table& table,
    ConfigurationFollower& follower) {
  for (int i = 0; i < kMaxPages; ++i) {
    auto page = co_await ReadChangePage(table, follower.version());
    if (!page) {
      co_return page.error();
    }
    for (const coordination::Change& it : page.value().changes) {
      if (follower.Apply(it) == FollowResult::kGap) {
        co_return ReadOutcome::kGap;
      }
    }
    if (page.value().has_gap) {
      co_return ReadOutcome::kGap;
    }
    if (page.value().is_last) {
      break;
    }
  }
  co_return ReadOutcome::kCurrent;
}

asio::awaitable<Result<std::vector<Section>, PlatformError>> ReadSections(
    platform::Table& table) {
  std::vector<Section> sections;
  std::string after;
  while (true) {
    auto rows =
        co_await table.Query(std::string(kSectionPartition), after, kPageRows);
    if (!rows) {
      co_return rows.error();
    }
    for (const Row& it : rows.value()) {
      auto single_section = wire::DecodeStruct<wire::ConfigChange>(it.body);
      if (!single_section || single_section.value().sections.size() != 1) {
        co_return PlatformError::kBadAnswer;
      }
      sections.push_back(FromWire(single_section.value()).sections.front());
      after = it.key.sort;
    }
    if (rows.value().size() < kPageRows) {
      co_return sections;
    }
  }
}

// The section rows are not read atomically. Those newer than the complete
// version in the head row, which is read first, may mix versions; applying the
// changes after that version makes them consistent.
asio::awaitable<Result<bool, PlatformError>> ReadFullConfiguration(
    platform::Table& table,
    ConfigurationFollower& follower) {
  auto head = co_await table.Get(HeadKey());
  if (!head) {
    co_return head.error();
  }
  if (!head.value()) {
    co_return false;
  }
  auto sections = co_await ReadSections(table);
  if (!sections) {
    co_return sections.error();
  }
  ConfigurationFollower rebuilt(1);
  rebuilt.ApplySnapshot(ReadHeadRow(*head.value()).section_rows_version,
                        sections.value());
  auto outcome = co_await ReadChanges(table, rebuilt);
  if (!outcome) {
    co_return outcome.error();
  }
  if (outcome.value() == ReadOutcome::kGap) {
    co_return PlatformError::kBadAnswer;
  }
  const std::vector<Section> all = rebuilt.Export();
  co_return follower.ApplySnapshot(rebuilt.version(), all) ==
      FollowResult::kApplied;
}

}  // namespace

asio::awaitable<Result<ChangePage, PlatformError>> ReadChangePage(
    platform::Table& table,
    std::int64_t version) {
  auto rows = co_await table.Query(std::string(kChangePartition),
                                   ChangeSort(version), kPageRows);
  if (!rows) {
    co_return rows.error();
  }
  ChangePage page;
  page.is_last = rows.value().size() < kPageRows;
  for (const Row& it : rows.value()) {
    auto change = wire::DecodeStruct<wire::ConfigChange>(it.body);
    if (!change) {
      page.has_gap = true;
      break;
    }
    if (IsSplitIntoParts(change.value())) {
      auto complete = co_await ReadParts(table, change.value());
      if (!complete) {
        co_return complete.error();
      }
      if (!complete.value()) {
        page.has_gap = true;
        break;
      }
    }
    page.changes.push_back(FromWire(change.value()));
  }
  co_return page;
}

asio::awaitable<Result<bool, PlatformError>> ReadConfiguration(
    platform::Table& table,
    ConfigurationFollower& follower) {
  const std::int64_t before = follower.version();
  if (before > 0) {
    auto outcome = co_await ReadChanges(table, follower);
    if (!outcome) {
      co_return outcome.error();
    }
    if (outcome.value() == ReadOutcome::kCurrent) {
      co_return follower.version() > before;
    }
  }
  auto advanced = co_await ReadFullConfiguration(table, follower);
  co_return advanced;
}

}  // namespace peridotgate::control
