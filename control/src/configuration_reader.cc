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
// Changes come at most this much faster than they are read.
constexpr int kMaxPages = 64;

// How far the reading of change rows came.
enum class ReadEnd { kCurrent, kGap };

// Fills in the content of a change in parts; false when a part is gone, since
// the change was trimmed meanwhile.
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

asio::awaitable<Result<ReadEnd, PlatformError>> ReadChanges(
    platform::Table& table,
    ConfigurationFollower& follower) {
  for (int i = 0; i < kMaxPages; ++i) {
    auto page = co_await ReadChangePage(table, follower.version());
    if (!page) {
      co_return page.error();
    }
    for (const coordination::Change& it : page.value().changes) {
      if (follower.Apply(it) == FollowResult::kGap) {
        co_return ReadEnd::kGap;
      }
    }
    if (page.value().has_gap) {
      co_return ReadEnd::kGap;
    }
    if (page.value().is_last) {
      break;
    }
  }
  co_return ReadEnd::kCurrent;
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
      auto alone = wire::DecodeStruct<wire::ConfigChange>(it.body);
      if (!alone || alone.value().sections.size() != 1) {
        co_return PlatformError::kBadAnswer;
      }
      sections.push_back(FromWire(alone.value()).sections.front());
      after = it.key.sort;
    }
    if (rows.value().size() < kPageRows) {
      co_return sections;
    }
  }
}

// The sections are not read at one moment: those newer than what the head that
// was read before them calls whole are made right by the changes after that.
asio::awaitable<Result<bool, PlatformError>> ReadWhole(
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
  ConfigurationFollower whole(1);
  whole.ApplySnapshot(ReadHeadRow(*head.value()).section_rows_version,
                      sections.value());
  auto end = co_await ReadChanges(table, whole);
  if (!end) {
    co_return end.error();
  }
  if (end.value() == ReadEnd::kGap) {
    co_return PlatformError::kBadAnswer;
  }
  const std::vector<Section> all = whole.Export();
  co_return follower.ApplySnapshot(whole.version(), all) ==
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
      auto whole = co_await ReadParts(table, change.value());
      if (!whole) {
        co_return whole.error();
      }
      if (!whole.value()) {
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
    auto end = co_await ReadChanges(table, follower);
    if (!end) {
      co_return end.error();
    }
    if (end.value() == ReadEnd::kCurrent) {
      co_return follower.version() > before;
    }
  }
  auto grew = co_await ReadWhole(table, follower);
  co_return grew;
}

}  // namespace peridotgate::control
